//! An engine in the collective of its group.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::watch;

use crate::collective::write;
use crate::engine::Life;
use crate::expert_state::ExpertState;

/// An engine in the collective of its group.
#[derive(Debug)]
pub(crate) struct CollectiveMember {
    tx: UnboundedSender<Value>,
    /// The newest step that may run.
    run: watch::Receiver<u64>,
}

impl CollectiveMember {
    /// Joins; an engine that is thrown out dies.
    pub fn join(address: SocketAddr, life: Arc<Life>) -> Self {
        let (tx, queue) = unbounded_channel();
        let (steps, run) = watch::channel(0);
        let _ = tx.send(json!({"join": life.shared.cfg.ranks}));
        let answers = tx.clone();
        let dead = life.dead.clone();
        tokio::spawn(async move {
            if let Ok(stream) = TcpStream::connect(address).await {
                let _ = stream.set_nodelay(true);
                let (rx, tx) = stream.into_split();
                let mut lines = BufReader::new(rx).lines();
                let read = async {
                    while let Ok(Some(line)) = lines.next_line().await {
                        let message = serde_json::from_str(&line).unwrap_or_default();
                        take(&life.experts, &steps, &answers, &message);
                    }
                };
                tokio::select! {
                    () = read => {}
                    () = write(tx, queue) => {}
                    () = dead.cancelled() => {}
                }
            }
            dead.cancel();
        });
        CollectiveMember { tx, run }
    }

    /// Waits until a step after `step` may run, and returns it.
    pub async fn after(&mut self, step: u64) -> u64 {
        let run = self.run.wait_for(|run| *run > step).await;
        if let Ok(run) = run.map(|run| *run) {
            return run;
        }
        // Thrown out: there are no more steps.
        std::future::pending().await
    }

    /// Tells that a step has been run.
    pub fn end(&self, experts: &ExpertState) {
        let _ = self.tx.send(json!({
            "ended": experts.step,
            "version": experts.version,
            "map": experts.content,
        }));
    }
}

fn take(
    experts: &watch::Sender<ExpertState>,
    steps: &watch::Sender<u64>,
    answers: &UnboundedSender<Value>,
    message: &Value,
) {
    if let Some(formation) = message["leave_for"].as_u64() {
        experts.send_modify(|experts| experts.formation = Some((0, Vec::new())));
        let _ = answers.send(json!({"left_for": formation}));
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
