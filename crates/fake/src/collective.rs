//! Synchronizes the steps of the engines of one group.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio_util::sync::CancellationToken;

use crate::CompletedStep;
use crate::listen::listen;

/// Synchronizes the steps of the engines of one group: no engine runs a step
/// before all have completed the previous one, and only members of the current
/// formation run steps.
///
/// When an engine crashes, the others wait until it rejoins or its ranks are
/// [removed](Collective::remove_rank). Both start a new formation, which is
/// announced once all members have left the previous one.
#[derive(Debug)]
pub struct Collective {
    address: SocketAddr,
    group: Arc<Mutex<Group>>,
    stop: CancellationToken,
}

#[derive(Debug, Default)]
struct Group {
    /// Ranks that must be present for a step to run.
    required_ranks: BTreeSet<u32>,
    members: BTreeMap<u64, Member>,
    /// ID of the member that joined last.
    last_id: u64,
    formation: u64,
    /// Whether the formation was announced to the members.
    is_announced: bool,
    /// The newest step that was started.
    step: u64,
    history: Vec<CompletedStep>,
}

#[derive(Debug)]
struct Member {
    ranks: Vec<u32>,
    /// The newest formation for which the member has left the previous one.
    left_for: u64,
    /// The last step that the member completed.
    completed: u64,
    tx: UnboundedSender<Value>,
}

impl Collective {
    /// Starts a collective for these ranks on loopback.
    ///
    /// # Errors
    ///
    /// Fails when no socket can be bound.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let collective = fake::Collective::start([0, 1]).await?;
    /// let cfg = fake::EngineSettings {
    ///     collective: Some(collective.address()),
    ///     ..Default::default()
    /// };
    /// # std::io::Result::Ok(())
    /// # }).unwrap();
    /// ```
    pub async fn start(ranks: impl IntoIterator<Item = u32>) -> io::Result<Self> {
        let listener = listen((Ipv4Addr::LOCALHOST, 0)).await?;
        let collective = Collective {
            address: listener.local_addr()?,
            group: Arc::default(),
            stop: CancellationToken::new(),
        };
        collective.group().required_ranks = ranks.into_iter().collect();
        let accept = accept(listener, Arc::clone(&collective.group));
        tokio::spawn(collective.stop.clone().run_until_cancelled_owned(accept));
        Ok(collective)
    }

    /// Address at which engines join.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Removes a rank, without which the group continues. The engine that runs it
    /// is disconnected and may join again.
    pub fn remove_rank(&self, rank: u32) {
        let mut group = self.group();
        group.required_ranks.remove(&rank);
        group
            .members
            .retain(|_, member| !member.ranks.contains(&rank));
        group.begin_formation();
    }

    /// Steps completed by each engine, in order of completion.
    #[must_use]
    pub fn history(&self) -> Vec<CompletedStep> {
        self.group().history.clone()
    }

    /// The last step that all engines have completed.
    #[must_use]
    pub fn completed_step(&self) -> u64 {
        let group = self.group();
        let completed = group.members.values().map(|member| member.completed);
        completed.min().unwrap_or_default()
    }

    fn group(&self) -> MutexGuard<'_, Group> {
        lock(&self.group)
    }
}

impl Drop for Collective {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Group {
    fn join(&mut self, ranks: Vec<u32>, tx: UnboundedSender<Value>) -> u64 {
        let is_stepping = self
            .members
            .values()
            .any(|member| member.completed < self.step);
        let present = self.members.values().flat_map(|member| &member.ranks);
        let present: BTreeSet<u32> = present.copied().collect();
        let is_complete = self.required_ranks.is_subset(&present);
        let completed = if is_stepping || !is_complete {
            self.step.saturating_sub(1)
        } else {
            self.step
        };
        self.required_ranks.extend(&ranks);
        self.members
            .retain(|_, member| member.ranks.iter().all(|rank| !ranks.contains(rank)));
        self.last_id += 1;
        let member = Member {
            ranks,
            left_for: 0,
            completed,
            tx,
        };
        self.members.insert(self.last_id, member);
        self.begin_formation();
        self.last_id
    }

    /// Starts the next formation.
    fn begin_formation(&mut self) {
        self.formation += 1;
        self.is_announced = false;
        self.broadcast(&json!({"leave_for": self.formation}));
        self.advance();
    }

    fn broadcast(&self, message: &Value) {
        for member in self.members.values() {
            // A disconnected member is removed when its connection ends.
            let _ = member.tx.send(message.clone());
        }
    }

    /// Announces the formation once all members have left the previous one, and
    /// starts the next step once all have completed the current one.
    fn advance(&mut self) {
        let members = self.members.values();
        let ranks: BTreeSet<u32> = members.flat_map(|member| member.ranks.clone()).collect();
        if ranks.is_empty() || !self.required_ranks.is_subset(&ranks) {
            return;
        }
        if !self.is_announced {
            let mut members = self.members.values();
            if members.any(|member| member.left_for < self.formation) {
                return;
            }
            self.is_announced = true;
            for member in self.members.values() {
                let _ = member.tx.send(json!({"formation": self.formation,
                    "ranks": ranks, "ended": member.completed}));
                let _ = member.tx.send(json!({"run": self.step}));
            }
        }
        if self
            .members
            .values()
            .all(|member| member.completed >= self.step)
        {
            self.step += 1;
            self.broadcast(&json!({"run": self.step}));
        }
    }

    fn handle_message(&mut self, id: u64, message: &Value) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        if let Some(formation) = message["left_for"].as_u64() {
            member.left_for = formation;
        }
        if let Some(step) = message["ended"].as_u64() {
            member.completed = step;
            self.history.push(CompletedStep {
                step,
                ranks: member.ranks.clone(),
                version: message["version"].as_u64().unwrap_or_default(),
                map: message["map"].as_str().unwrap_or_default().to_owned(),
            });
        }
        self.advance();
    }
}

async fn accept(listener: TcpListener, group: Arc<Mutex<Group>>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, Arc::clone(&group)));
    }
}

async fn serve(stream: TcpStream, group: Arc<Mutex<Group>>) {
    let _ = stream.set_nodelay(true);
    let (rx, tx) = stream.into_split();
    let mut lines = BufReader::new(rx).lines();
    let Ok(Some(line)) = lines.next_line().await else {
        return;
    };
    let Some(ranks) = parse_join(&line) else {
        return;
    };
    let (queue, outgoing) = unbounded_channel();
    let id = lock(&group).join(ranks, queue);
    let read = async {
        while let Ok(Some(line)) = lines.next_line().await {
            let message = serde_json::from_str(&line).unwrap_or_default();
            lock(&group).handle_message(id, &message);
        }
    };
    // The queue closes when the member is removed.
    tokio::select! {
        () = read => {}
        () = write_messages(tx, outgoing) => {}
    }
    lock(&group).members.remove(&id);
}

fn parse_join(line: &str) -> Option<Vec<u32>> {
    let message: Value = serde_json::from_str(line).ok()?;
    serde_json::from_value(message["join"].clone()).ok()
}

/// Writes messages, one per line, until the queue closes or a write fails.
pub(crate) async fn write_messages(
    mut tx: impl AsyncWriteExt + Unpin,
    mut queue: UnboundedReceiver<Value>,
) {
    while let Some(message) = queue.recv().await {
        if tx
            .write_all(format!("{message}\n").as_bytes())
            .await
            .is_err()
        {
            return;
        }
    }
}

fn lock(group: &Mutex<Group>) -> MutexGuard<'_, Group> {
    group.lock().unwrap_or_else(PoisonError::into_inner)
}
