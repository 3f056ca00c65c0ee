//! Messages to the link manager.

use std::sync::Arc;

use wire::proto::{CacheEvents, LoadReport};

use super::Agent;

/// Message to the link manager.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// The member view, the release note or a link has changed.
    Changed,
    /// The tick interval has passed.
    Tick,
    /// A different process or a later incarnation answers at the agent's address: this
    /// incarnation has ended.
    IncarnationEnded(Arc<Agent>),
    /// The agent accepts no new work.
    Leaving(Arc<Agent>),
    /// Load report of the target.
    LoadReport(Arc<Agent>, LoadReport),
    /// Changes of the target's prefix cache.
    CacheEvents(Arc<Agent>, CacheEvents),
}
