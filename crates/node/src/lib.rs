//! What every entry and agent runs to follow control.
//!
//! A [`Follower`] keeps a link to each control replica, finds the leader, renews the
//! node's lease, fetches release notes, and holds the newest of everything: the
//! catalogue, the member view, the quarantine. Nothing that it holds ever goes back to
//! an older state, whichever replica it hears it from.

mod ask;
mod controls;
mod follower;
mod lease;
mod renewer;
mod settings;
mod shared;
mod view;

pub use crate::follower::Follower;
pub use crate::lease::Lease;
pub use crate::settings::FollowerSettings;
pub use crate::view::merge;
