//! Dependencies of request execution.

use std::sync::Arc;

use node::Follower;
use tokio_util::task::TaskTracker;

use crate::metrics::Metrics;
use crate::placement::Placement;
use crate::{Limits, Timing};

/// Dependencies of request execution, shared by all requests.
#[derive(Clone)]
pub(crate) struct ExecutionContext {
    pub(crate) follower: Follower,
    pub(crate) placement: Arc<Placement>,
    pub(crate) timing: Arc<Timing>,
    pub(crate) limits: Arc<Limits>,
    pub(crate) metrics: Metrics,
    /// Calls that must be followed to their end before the entry shuts down.
    pub(crate) tracker: TaskTracker,
}
