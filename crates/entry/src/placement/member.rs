//! A live target that may belong to a pool.

use std::sync::Arc;

use route::TargetStatus;

use crate::links::{Agent, Announced};

/// A live target that may belong to a pool.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) agent: Arc<Agent>,
    pub(crate) announced: Announced,
    pub(crate) standing: TargetStatus,
    /// Entries that send it work, this one included.
    pub(crate) entries: u32,
}
