//! Performance profile of the model engines of a service.

use std::time::Duration;

/// Performance profile of the model engines of a service, as stated by their
/// supplier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Capacity of the KV cache of one engine, in tokens.
    pub kv_cache_tokens: u64,
    /// Time of one decode step, without the part added per running request.
    pub base_step: Duration,
    /// Time that each running request adds to a decode step.
    pub step_per_request: Duration,
    /// Prefill throughput, in prompt tokens per second.
    pub prefill_tokens_per_second: f64,
    /// Age of load reports on arrival.
    pub report_lag: Duration,
    /// Experts, if the engine is a rank of an expert-parallel group that is
    /// balanced with expert maps.
    pub experts: Option<Experts>,
}

/// Expert layout of the engines of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Experts {
    /// Number of layers that have experts.
    pub layers: u32,
    /// Number of experts in each of these layers.
    pub experts_per_layer: u32,
    /// Maximum number of experts that one rank holds per layer.
    pub slots_per_layer: u32,
    /// Maximum number of experts per layer that a new map may add to one rank.
    pub max_new_per_layer: u32,
    /// Size of one expert, in bytes.
    pub bytes_per_expert: u64,
    /// Rate at which a rank loads expert weights, in bytes per second.
    pub bytes_per_second: f64,
}
