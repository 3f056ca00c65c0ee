//! What model engines of a service are like.

use std::time::Duration;

/// What the model engines of a service are like, as their supplier tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that one engine runs at a time.
    pub slots: u32,
    /// Tokens that the memory of one engine holds.
    pub kv_capacity_tokens: u64,
    /// Time of one decode step with nothing running.
    pub base_step: Duration,
    /// What each running request adds to a step.
    pub step_per_request: Duration,
    /// Prompt tokens read in a second.
    pub prefill_tokens_per_second: f64,
    /// How old load reports are.
    pub report_lag: Duration,
    /// Its experts, where it is a rank of a group that runs on expert maps.
    pub experts: Option<Experts>,
}

/// The experts of a group's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Experts {
    /// Layers with experts.
    pub layers: u32,
    /// Experts in each of them.
    pub experts_per_layer: u32,
    /// Experts that one rank holds in each layer at most.
    pub slots_per_layer: u32,
    /// Experts new to a rank in one layer that a map may bring at most.
    pub max_new_per_layer: u32,
    /// Bytes of one expert.
    pub bytes_per_expert: u64,
    /// Bytes that a rank loads in a second.
    pub bytes_per_second: f64,
}
