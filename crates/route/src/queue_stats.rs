//! Statistics of a request queue.

use std::time::Duration;

use crate::Priority;

/// Waiting requests of one priority in a [`RequestQueue`](crate::RequestQueue).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueStats {
    /// Their priority.
    pub priority: Priority,
    /// How many of them wait.
    pub waiting: usize,
    /// How long the oldest of them has waited.
    pub oldest: Duration,
}
