//! A replica of the durable state.
//!
//! [`init`] makes the data folder of the first replica of a new cluster;
//! every other replica starts on a blank folder and is taken in by the
//! leader. [`Control::start`] runs one replica: its actor owns the replicated
//! log, the state machine and the leases of nodes, a thread of its own owns
//! the disk, and a task for each other replica keeps a link to it.

mod asker;
mod clock;
mod codec;
mod control;
mod disk;
mod forming;
mod http;
mod hub;
mod init;
mod links;
mod listeners;
mod machine;
mod metrics;
mod node_info;
mod peers;
mod port;
mod recovered_table;
mod replica;
mod replicas;
mod reply;
mod roster;
mod settings;
mod target_cache;
mod timing;

pub use clock::Clock;
pub use control::Control;
pub use forming::Forming;
pub use init::init;
pub use listeners::Listeners;
pub use machine::Machine;
pub use port::{ENTRY_LIST_TTL, ReplaceOutcome};
pub use roster::{Progress, Roster};
pub use settings::{ReplicaAddress, Settings};
pub use timing::Timing;
