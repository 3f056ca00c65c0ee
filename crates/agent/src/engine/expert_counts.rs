//! What an engine counts of its experts.

use serde::Deserialize;

/// What an engine counts of its experts, from its start on.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct ExpertCounts {
    /// The last step that ran.
    pub step: u64,
    /// Version of the map in use.
    pub map_version: u64,
    /// For each of its ranks.
    pub ranks: Vec<RankCounts>,
}

/// What one rank counts.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct RankCounts {
    /// Number of the rank.
    pub rank: u32,
    /// Time of a step, in microseconds.
    pub step_us: u32,
    /// How many times longer than usual it takes for its work, if it tells.
    pub slowdown: Option<f64>,
    /// Tokens by layer and expert.
    pub tokens: Vec<Vec<u64>>,
}
