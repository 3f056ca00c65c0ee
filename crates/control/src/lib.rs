//! A replica of the durable state.
//!
//! [`init`] creates the data folder of the first replica of a new cluster.
//! Every other replica starts on a blank folder and joins the cluster through
//! the leader. [`Control::start`] runs one replica: an actor owns the
//! replicated log, the state machine and the leases of nodes, a dedicated
//! thread owns the disk, and one task per other replica keeps a link to it.

mod api;
mod clock;
mod cluster_formation;
mod codec;
mod control;
mod disk;
mod entry_compressor;
mod gossip;
mod http;
mod init;
mod leader_client;
mod links;
mod listeners;
mod log_runtime;
mod metrics;
mod node_info;
mod node_leases;
mod peers;
mod published_table;
mod replica;
mod replicas;
mod reply;
mod settings;
mod state_machine;
mod target_cache;
mod timing;
mod withdrawn;

pub use api::{ENTRY_LIST_TTL, EvacuateOutcome, ReplaceOutcome};
pub use clock::Clock;
pub use cluster_formation::ClusterFormation;
pub use control::Control;
pub use init::init;
pub use listeners::{HttpListener, Listeners};
pub use node_leases::{NodeLeases, NoteProgress};
pub use settings::{ReplicaAddress, Settings};
pub use state_machine::StateMachine;
pub use timing::Timing;
pub use withdrawn::Withdrawn;
