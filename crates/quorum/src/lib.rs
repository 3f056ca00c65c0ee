//! Replicated log based on Raft: leader election, log replication, membership
//! changes, leader leases and fencing.
//!
//! The crate performs no I/O: it opens no socket, reads no clock and writes no
//! file. The caller passes messages and the current time to a [`Node`], and
//! [`Node::ready`] returns what to persist, send and apply. Section numbers in
//! comments refer to Ongaro, "Consensus: Bridging Theory and Practice" (2014).
//!
//! A single voter elects itself:
//!
//! ```
//! use quorum::{Config, DiskId, Members, Node, Peer, PersistedState, Snapshot};
//! use std::time::{Duration, Instant};
//!
//! let id = DiskId(7);
//! let mut members = Members::default();
//! members.voters.insert(id, Peer::new("one", "127.0.0.1:1"));
//! let snapshot = Some(Snapshot::initial(members));
//! let persisted = PersistedState { snapshot, ..PersistedState::default() };
//! let start = Instant::now();
//! let mut node = Node::new(id, Config::default(), 1, persisted, start);
//!
//! let now = start + Duration::from_secs(10);
//! node.tick(now);
//! let ready = node.ready();
//! node.persisted(ready.write.unwrap().number, now);
//! assert!(node.is_leader());
//! ```

mod config;
mod disk_id;
mod entry;
mod hard_state;
mod incoming_snapshot;
mod leader;
mod leadership_error;
mod log;
mod members;
mod message;
mod node;
mod persisted_state;
mod progress;
mod ready;
mod snapshot;
mod status;
mod write;

pub use config::{Config, VoterReplacement};
pub use disk_id::DiskId;
pub use entry::{Entry, EntryBody};
pub use hard_state::HardState;
pub use leadership_error::LeadershipError;
pub use members::{Members, Peer};
pub use message::{Message, MessageBody};
pub use node::Node;
pub use persisted_state::PersistedState;
pub use ready::Ready;
pub use snapshot::Snapshot;
pub use status::{ReplicaStatus, Status};
pub use write::Write;
