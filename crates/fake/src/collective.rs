//! The collective that the engines of one group step in.

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

/// The collective that the engines of one group step in: no engine runs a step
/// before all have ended the last one, and none runs a step at all unless it
/// is in the present formation.
///
/// An engine that dies leaves the others waiting until it is back or is
/// declared [lost](Collective::remove_rank). Either makes a new formation, which an
/// engine is told of only once all of them have left the former one.
#[derive(Debug)]
pub struct Collective {
    address: SocketAddr,
    group: Arc<Mutex<Group>>,
    dead: CancellationToken,
}

#[derive(Debug, Default)]
struct Group {
    /// Ranks without which no step runs.
    needed: BTreeSet<u32>,
    members: BTreeMap<u64, Member>,
    joined: u64,
    formation: u64,
    /// Whether the members were told of the formation.
    is_formed: bool,
    /// The step that runs or ran last.
    step: u64,
    history: Vec<CompletedStep>,
}

#[derive(Debug)]
struct Member {
    ranks: Vec<u32>,
    /// The newest formation for which it has left the one before.
    left_for: u64,
    /// The last step that it ended.
    ended: u64,
    tx: UnboundedSender<Value>,
}

impl Collective {
    /// Starts the collective of these ranks, on loopback.
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
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let collective = Collective {
            address: listener.local_addr()?,
            group: Arc::default(),
            dead: CancellationToken::new(),
        };
        collective.group().needed = ranks.into_iter().collect();
        let accept = accept(listener, Arc::clone(&collective.group));
        tokio::spawn(collective.dead.clone().run_until_cancelled_owned(accept));
        Ok(collective)
    }

    /// Where engines join.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The group goes on without this rank; an engine that runs it is thrown
    /// out and may join again.
    pub fn remove_rank(&self, rank: u32) {
        let mut group = self.group();
        group.needed.remove(&rank);
        group
            .members
            .retain(|_, member| !member.ranks.contains(&rank));
        group.form();
    }

    /// Each step as each engine ran it, in the order in which they ended it.
    #[must_use]
    pub fn history(&self) -> Vec<CompletedStep> {
        self.group().history.clone()
    }

    /// The last step that all engines have ended.
    #[must_use]
    pub fn completed_step(&self) -> u64 {
        let group = self.group();
        let ended = group.members.values().map(|member| member.ended);
        ended.min().unwrap_or_default()
    }

    fn group(&self) -> MutexGuard<'_, Group> {
        lock(&self.group)
    }
}

impl Drop for Collective {
    fn drop(&mut self) {
        self.dead.cancel();
    }
}

impl Group {
    fn join(&mut self, ranks: Vec<u32>, tx: UnboundedSender<Value>) -> u64 {
        let runs = self.members.values().any(|member| member.ended < self.step);
        let present = self.members.values().flat_map(|member| &member.ranks);
        let present: BTreeSet<u32> = present.copied().collect();
        let is_whole = self.needed.is_subset(&present);
        let ended = if runs || !is_whole {
            self.step.saturating_sub(1)
        } else {
            self.step
        };
        self.needed.extend(&ranks);
        self.members
            .retain(|_, member| member.ranks.iter().all(|rank| !ranks.contains(rank)));
        self.joined += 1;
        let member = Member {
            ranks,
            left_for: 0,
            ended,
            tx,
        };
        self.members.insert(self.joined, member);
        self.form();
        self.joined
    }

    /// Begins the next formation.
    fn form(&mut self) {
        self.formation += 1;
        self.is_formed = false;
        self.tell(&json!({"leave_for": self.formation}));
        self.settle();
    }

    fn tell(&self, message: &Value) {
        for member in self.members.values() {
            // One that is gone is taken out when its connection ends.
            let _ = member.tx.send(message.clone());
        }
    }

    /// Ends what can be ended: a formation that all have left the former one
    /// for, a step that all have run.
    fn settle(&mut self) {
        let members = self.members.values();
        let ranks: BTreeSet<u32> = members.flat_map(|member| member.ranks.clone()).collect();
        if ranks.is_empty() || !self.needed.is_subset(&ranks) {
            return;
        }
        if !self.is_formed {
            let mut members = self.members.values();
            if members.any(|member| member.left_for < self.formation) {
                return;
            }
            self.is_formed = true;
            for member in self.members.values() {
                let _ = member.tx.send(json!({"formation": self.formation,
                    "ranks": ranks, "ended": member.ended}));
                let _ = member.tx.send(json!({"run": self.step}));
            }
        }
        if self
            .members
            .values()
            .all(|member| member.ended >= self.step)
        {
            self.step += 1;
            self.tell(&json!({"run": self.step}));
        }
    }

    fn take(&mut self, id: u64, message: &Value) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        if let Some(formation) = message["left_for"].as_u64() {
            member.left_for = formation;
        }
        if let Some(step) = message["ended"].as_u64() {
            member.ended = step;
            self.history.push(CompletedStep {
                step,
                ranks: member.ranks.clone(),
                version: message["version"].as_u64().unwrap_or_default(),
                map: message["map"].as_str().unwrap_or_default().to_owned(),
            });
        }
        self.settle();
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
    let Some(ranks) = joined(&line) else { return };
    let (queue, outgoing) = unbounded_channel();
    let id = lock(&group).join(ranks, queue);
    let read = async {
        while let Ok(Some(line)) = lines.next_line().await {
            let message = serde_json::from_str(&line).unwrap_or_default();
            lock(&group).take(id, &message);
        }
    };
    // The queue ends when the member is thrown out.
    tokio::select! {
        () = read => {}
        () = write(tx, outgoing) => {}
    }
    lock(&group).members.remove(&id);
}

fn joined(line: &str) -> Option<Vec<u32>> {
    let message: Value = serde_json::from_str(line).ok()?;
    serde_json::from_value(message["join"].clone()).ok()
}

/// Writes messages, one a line, until the queue ends or a write fails.
pub(crate) async fn write(mut tx: impl AsyncWriteExt + Unpin, mut queue: UnboundedReceiver<Value>) {
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
