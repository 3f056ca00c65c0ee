//! A live target.

use std::sync::Arc;

use route::TargetStatus;

use crate::links::{Agent, AnnouncedTarget};

/// A live target, a candidate for a pool.
#[derive(Clone, Debug)]
pub(crate) struct LiveTarget {
    pub(crate) agent: Arc<Agent>,
    pub(crate) announced: AnnouncedTarget,
    pub(crate) status: TargetStatus,
    /// Number of entries that send it work, including this one.
    pub(crate) entries: u32,
}
