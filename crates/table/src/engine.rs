//! What model engines of a service are like.

use std::time::Duration;

/// What the model engines of a service are like, as their supplier tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that one engine runs at a time.
    pub slots: u32,
    /// Tokens that the memory of one engine holds.
    pub memory_tokens: u64,
    /// Time of one decode step with nothing running.
    pub step: Duration,
    /// What each running request adds to a step.
    pub step_per_request: Duration,
    /// Prompt tokens read in a second.
    pub read_per_second: f64,
    /// How old load reports are.
    pub report_lag: Duration,
}
