//! What every entry and agent runs to follow control.
//!
//! A [`Follower`] keeps a link to each control replica, finds the leader, renews the
//! node's lease, fetches release notes, and holds the newest of everything: the
//! catalogue, the member view, the quarantine. Nothing that it holds ever goes back to
//! an older state, whichever replica it hears it from.
//!
//! In an availability zone of many nodes it renews through another node, and may have
//! to pass on the renewals of others: whoever accepts links hands such messages to
//! [`Follower::relay`].

mod ask;
mod controls;
mod follower;
mod lease;
mod relay_link;
mod relayed;
mod renewer;
mod seeds;
mod settings;
mod shared;
mod view;
mod watcher;
mod watcher_state;

pub use crate::follower::Follower;
pub use crate::lease::Lease;
pub use crate::seeds::follow_seeds;
pub use crate::settings::FollowerSettings;
pub use crate::shared::QuotaShares;
pub use crate::view::merge_view;
pub use watcher::{DecodeRouteTable, Watcher, WatcherSettings};
pub use watcher_state::{KnownTarget, WatcherState};
