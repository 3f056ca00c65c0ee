//! A live target that may belong to a pool.

use std::sync::Arc;

use route::TargetStatus;

use crate::links::{Agent, AnnouncedTarget};

/// A live target that may belong to a pool.
#[derive(Clone, Debug)]
pub(crate) struct LiveTarget {
    pub(crate) agent: Arc<Agent>,
    pub(crate) announced: AnnouncedTarget,
    pub(crate) status: TargetStatus,
    /// Entries that send it work, this one included.
    pub(crate) entries: u32,
}
