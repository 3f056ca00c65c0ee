//! The actor that owns the replicated log and the state machine.

mod actor;
mod answer;
mod backlog;
mod granting;
mod output;
mod pending;
mod status;

pub(crate) use actor::{Replica, Start};
pub(crate) use status::add_leaders_part;

use crate::clock::Clock;
use crate::disk::{Fullness, Job, Report};
use crate::machine::Machine;
use crate::metrics::Metrics;
use crate::peers::{PeerLink, Peers};
use crate::replicas::Replicas;
use crate::reply::Reply;
use crate::roster::Roster;
use crate::settings::Settings;
use backlog::Backlog;
use pending::{Commands, Reads};
use quorum::{DiskId, Members, Message, Node};
use std::sync::mpsc::Sender;
use std::time::Instant;
use tokio::sync::{oneshot, watch};
use wire::Link;
use wire::proto::{FetchNotes, Propose, Query, Renew, RenewBatch, RouteTable};

/// What the actor is told.
pub(crate) enum Msg {
    /// Time has passed.
    Tick,
    /// All that was told before this is to be carried out.
    Pump,
    /// From another replica.
    Peer(Box<Message>),
    /// A link to another replica is up.
    PeerUp(DiskId, PeerLink),
    /// One is down.
    PeerDown(DiskId),
    /// From the disk.
    Disk(Report),
    /// A node's link is up; it is told of new notes.
    NodeUp(Link),
    /// From a node.
    Ask(Box<Ask>),
    /// From this process: what stands here, as JSON.
    Status(oneshot::Sender<serde_json::Value>),
}

/// What a node asks for.
pub(crate) enum Ask {
    /// To renew its lease.
    Renew(Renew, Reply),
    /// To renew the leases of several nodes.
    RenewBatch(RenewBatch, Reply),
    /// For notes that it lacks.
    Notes(FetchNotes, Reply),
    /// To commit a command.
    Propose(Propose, Reply),
    /// To read.
    Query(Query, Reply),
}

/// What the actor keeps.
pub(crate) struct State {
    settings: Settings,
    node: Node,
    machine: Machine,
    /// Last entry that the machine has applied.
    applied: u64,
    jobs: Sender<Job>,
    fullness: Fullness,
    peers: Peers,
    nodes: Vec<Link>,
    roster: Option<Roster>,
    /// While this replica leads.
    backlog: Option<Backlog>,
    /// While this replica leads and has applied all that came before.
    clock: Option<Clock>,
    commands: Commands,
    reads: Reads,
    /// A snapshot is being saved.
    saving: Option<quorum::Snapshot>,
    /// [`Msg::Pump`] is in the mailbox.
    pump_due: bool,
    /// When to ask again to be taken in.
    join_at: Instant,
    /// Term in which this leader ordered its settings of the ledger.
    limits_ordered: Option<u64>,
    metrics: Metrics,
    /// The route table in force here, for those who follow it.
    table: watch::Sender<RouteTable>,
    /// The other replicas, for those who dial them.
    replicas: watch::Sender<Replicas>,
    /// The members that they were told last.
    published: Members,
    /// Why the replica can't go on.
    failed: Option<String>,
}
