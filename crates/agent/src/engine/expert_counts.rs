//! Expert counters of an engine.

use serde::Deserialize;

/// Expert counters of an engine, cumulative since it started.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct ExpertCounts {
    /// The last step that ran.
    pub step: u64,
    /// Version of the map in use.
    pub map_version: u64,
    /// Counters of each rank.
    pub ranks: Vec<RankCounts>,
}

/// Counters of one rank.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct RankCounts {
    /// Number of the rank.
    pub rank: u32,
    /// Duration of a step, in microseconds.
    pub step_us: u32,
    /// How many times longer than usual the rank takes for its work, if it
    /// reports that.
    pub slowdown: Option<f64>,
    /// Routed tokens by layer and expert.
    pub tokens: Vec<Vec<u64>>,
}
