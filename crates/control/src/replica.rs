//! The actor that owns the replicated log and the state machine.

mod actor;
mod answer;
mod forming;
mod lag_tracker;
mod output;
mod pending;
mod renewal_context;
mod status;
mod table_queue;

pub(crate) use actor::{Replica, Start};
pub(crate) use status::add_leader_fields;

use crate::clock::Clock;
use crate::disk::{Fullness, Job, Report};
use crate::metrics::Metrics;
use crate::node_leases::NodeLeases;
use crate::peers::{Direction, PeerLink, Peers};
use crate::published_table::PublishedTable;
use crate::replicas::Replicas;
use crate::reply::Reply;
use crate::settings::Settings;
use crate::state_machine::StateMachine;
use lag_tracker::LagTracker;
use pending::{PendingCommands, PendingReads};
use quorum::{DiskId, Members, Message, Node};
use std::sync::mpsc::Sender;
use std::time::Instant;
use table_queue::TableQueue;
use tokio::sync::{OwnedSemaphorePermit, oneshot, watch};
use wire::Link;
use wire::proto::{Evacuations, FetchNotes, Propose, Quarantine, Query, Renew, RenewBatch};

/// A message to the actor.
pub(crate) enum Msg {
    /// Periodic tick.
    Tick,
    /// Process the output of the log that the preceding messages produced.
    ProcessReady,
    /// A message from another replica, and whether that understands compressed entries.
    Peer(Box<Message>, bool),
    /// A link to another replica was opened, by it or by this one.
    PeerConnected(DiskId, Direction, PeerLink),
    /// A link to another replica was closed.
    PeerDisconnected(DiskId),
    /// A report from the disk thread.
    Disk(Report),
    /// A node has connected; it is notified of new release notes.
    NodeConnected(Link),
    /// A request from a node or from this process. The permit limits how many requests
    /// of nodes are in the mailbox.
    Request(Box<Request>, Option<OwnedSemaphorePermit>),
    /// A query from this process for its own status, as JSON.
    Status(oneshot::Sender<serde_json::Value>),
}

/// A request, with the destination of its reply.
pub(crate) enum Request {
    /// Renews the sender's lease.
    Renew(Box<Renew>, Reply),
    /// Renews the leases of several nodes.
    RenewBatch(RenewBatch, Reply),
    /// Fetches release notes that the sender lacks.
    Notes(FetchNotes, Reply),
    /// Commits a command.
    Propose(Propose, Reply),
    /// Reads the durable state.
    Query(Query, Reply),
}

/// State of the actor.
pub(crate) struct ReplicaState {
    settings: Settings,
    node: Node,
    state_machine: StateMachine,
    /// Index of the last entry that the state machine has applied.
    applied: u64,
    disk_jobs: Sender<Job>,
    fullness: Fullness,
    peers: Peers,
    nodes: Vec<Link>,
    node_leases: Option<NodeLeases>,
    /// Set while this replica leads.
    lag_tracker: Option<LagTracker>,
    /// Set while this replica leads and has applied all entries of earlier terms.
    clock: Option<Clock>,
    commands: PendingCommands,
    tables: TableQueue,
    reads: PendingReads,
    /// Size of the commands applied since the last snapshot was started, in bytes.
    unsaved_bytes: u64,
    /// Snapshot that is being saved.
    saving: Option<quorum::Snapshot>,
    /// Whether [`Msg::ProcessReady`] is in the mailbox.
    processing_scheduled: bool,
    /// When to send the next request to join the cluster.
    join_at: Instant,
    /// When to log next what a new cluster waits for.
    report_waiting_at: Instant,
    /// Index of the last evacuation order that this leader has appended; 0 if none.
    last_evacuation: u64,
    /// Term in which this leader proposed the ledger limits of its settings.
    limits_proposed_in_term: Option<u64>,
    metrics: Metrics,
    /// Publishes the route table in force on this replica.
    table: watch::Sender<PublishedTable>,
    /// Publishes the evacuated zones.
    evacuations: watch::Sender<Evacuations>,
    /// Publishes the verdicts on requests under which targets crash.
    quarantine: watch::Sender<Quarantine>,
    /// Publishes the replicas of the cluster.
    replicas: watch::Sender<Replicas>,
    /// Members that were published last.
    published_members: Members,
    /// Reason for which the replica must stop.
    failed: Option<String>,
}
