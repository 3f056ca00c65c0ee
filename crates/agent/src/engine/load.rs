//! The load that a target reports.

use serde::Deserialize;

/// The load of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Load by rank; empty for plain services.
    pub ranks: Vec<RankLoad>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that may run at once.
    pub limit: u32,
}

/// The load of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct RankLoad {
    /// The rank.
    pub rank: u32,
    /// Requests that run.
    pub running: u32,
    /// Tokens of prompts that wait.
    pub queued_tokens: u32,
    /// Use of the key-value cache, in thousandths.
    pub kv_used_permille: u32,
    /// Time of the last step in microseconds.
    pub step_us: u32,
}
