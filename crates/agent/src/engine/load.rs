//! Load report of a target.

use serde::Deserialize;

/// The load of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Load of each rank; empty for plain services.
    pub ranks: Vec<RankLoad>,
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub queued: u32,
    /// Maximum number of concurrent requests.
    pub limit: u32,
}

/// The load of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct RankLoad {
    /// Number of the rank.
    pub rank: u32,
    /// Running requests.
    pub running: u32,
    /// Prompt tokens of requests that wait.
    pub queued_tokens: u32,
    /// Usage of the key-value cache, in thousandths.
    pub kv_used_permille: u32,
    /// Duration of the last step, in microseconds.
    pub step_us: u32,
}
