//! The client of control that every entry and agent runs.
//!
//! A [`Follower`] maintains a link to each control replica, finds the leader, renews the
//! node's lease, fetches release notes, and holds the newest catalogue, member view and
//! quarantine. This state never reverts to an older one, whichever replica an update
//! comes from.
//!
//! In a large availability zone, a node renews through another node, or forwards the
//! renewals of others: the code that accepts links passes such messages to
//! [`Follower::relay`].
//!
//! A [`Watcher`] follows any control replica without a lease, for entries that need only
//! the route table and the reports of targets.

mod control_links;
mod entry_count;
mod follower;
mod leader_call;
mod lease;
mod proposal;
mod relay_link;
mod renewal_relay;
mod renewer;
mod replica_addresses;
mod route_tables;
mod seeds;
mod settings;
mod shared;
mod start_files;
mod view;
mod watcher;
mod watcher_state;

pub use crate::follower::Follower;
pub use crate::lease::Lease;
pub use crate::replica_addresses::ControlAddresses;
pub use crate::seeds::follow_seeds;
pub use crate::settings::FollowerSettings;
pub use crate::shared::QuotaShares;
pub use crate::start_files::read_when_complete;
pub use crate::view::merge_view;
pub use watcher::{DecodeRouteTable, Watcher, WatcherSettings};
pub use watcher_state::{KnownTarget, WatcherState};
