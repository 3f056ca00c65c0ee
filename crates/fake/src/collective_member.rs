//! Membership of an engine in the collective of its group.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::watch;

use crate::collective::write_messages;
use crate::engine::RunningEngine;
use crate::expert_state::ExpertState;

/// Membership of an engine in the collective of its group.
#[derive(Debug)]
pub(crate) struct CollectiveMember {
    tx: UnboundedSender<Value>,
    /// The newest step that may run.
    allowed_step: watch::Receiver<u64>,
}

impl CollectiveMember {
    /// Joins the collective; the engine stops when it is disconnected.
    pub fn join(address: SocketAddr, engine: Arc<RunningEngine>) -> Self {
        let (tx, queue) = unbounded_channel();
        let (steps, allowed_step) = watch::channel(0);
        let _ = tx.send(json!({"join": engine.shared.cfg.ranks}));
        let replies = tx.clone();
        let stopped = engine.stopped.clone();
        tokio::spawn(async move {
            if let Ok(stream) = TcpStream::connect(address).await {
                let _ = stream.set_nodelay(true);
                let (rx, tx) = stream.into_split();
                let mut lines = BufReader::new(rx).lines();
                let read = async {
                    while let Ok(Some(line)) = lines.next_line().await {
                        let message = serde_json::from_str(&line).unwrap_or_default();
                        handle_message(&engine.experts, &steps, &replies, &message);
                    }
                };
                tokio::select! {
                    () = read => {}
                    () = write_messages(tx, queue) => {}
                    () = stopped.cancelled() => {}
                }
            }
            stopped.cancel();
        });
        CollectiveMember { tx, allowed_step }
    }

    /// Waits until a step after `step` may run and returns it.
    pub async fn next_step(&mut self, step: u64) -> u64 {
        let allowed = self.allowed_step.wait_for(|allowed| *allowed > step).await;
        if let Ok(allowed) = allowed.map(|allowed| *allowed) {
            return allowed;
        }
        // Disconnected from the collective: no further step may run.
        std::future::pending().await
    }

    /// Reports the last step to the collective as completed.
    pub fn report_completed(&self, experts: &ExpertState) {
        let _ = self.tx.send(json!({
            "ended": experts.step,
            "version": experts.version,
            "map": experts.digest,
        }));
    }
}

fn handle_message(
    experts: &watch::Sender<ExpertState>,
    steps: &watch::Sender<u64>,
    replies: &UnboundedSender<Value>,
    message: &Value,
) {
    if let Some(formation) = message["leave_for"].as_u64() {
        experts.send_modify(|experts| experts.formation = Some((0, Vec::new())));
        let _ = replies.send(json!({"left_for": formation}));
    }
    if let Some(formation) = message["formation"].as_u64() {
        let ranks = serde_json::from_value(message["ranks"].clone()).unwrap_or_default();
        let ended = message["ended"].as_u64().unwrap_or_default();
        experts.send_modify(|experts| {
            experts.formation = Some((formation, ranks));
            experts.step = experts.step.max(ended);
        });
    }
    if let Some(step) = message["run"].as_u64() {
        steps.send_replace(step);
    }
}
