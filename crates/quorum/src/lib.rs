//! Replicated log of the Raft family: election, replication, membership,
//! leases and fencing.
//!
//! The crate decides and does nothing else: it opens no socket, reads no
//! clock and writes no file. A [`Node`] is fed with messages and with the
//! present time, and [`Node::ready`] says what to persist, to send and to
//! apply. Section numbers in comments are those of Ongaro, "Consensus:
//! Bridging Theory and Practice" (2014).
//!
//! One voter alone elects itself and commits:
//!
//! ```
//! use quorum::{Config, DiskId, Members, Node, Peer, PersistedState, Snapshot};
//! use std::time::{Duration, Instant};
//!
//! let id = DiskId(7);
//! let mut members = Members::default();
//! members.voters.insert(id, Peer::new("one", "127.0.0.1:1"));
//! let restored = PersistedState { snapshot: Some(Snapshot::initial(members)), ..PersistedState::default() };
//! let start = Instant::now();
//! let mut node = Node::new(id, Config::default(), 1, restored, start);
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
mod incoming;
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
