//! What the roster is told.

use std::sync::Arc;

use wire::proto::{CacheEvents, LoadReport};

use super::Agent;

/// What the roster is told.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// Something changed.
    Changed,
    /// A while has passed.
    Tick,
    /// Another process answers at the agent's address, or a later run of it:
    /// this incarnation is over.
    IncarnationEnded(Arc<Agent>),
    /// The agent takes no new work.
    Leaving(Arc<Agent>),
    /// The target's load.
    LoadReport(Arc<Agent>, LoadReport),
    /// What the target's prefix cache holds.
    CacheEvents(Arc<Agent>, CacheEvents),
}
