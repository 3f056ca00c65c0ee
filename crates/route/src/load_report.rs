//! Load reports of targets.

use std::time::{Duration, Instant};

/// Load of one target at the time of measurement.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetLoadReport {
    /// Time of measurement, on the entry's clock.
    pub taken_at: Instant,
    /// Maximum number of concurrent requests; 0 if the target does not report it.
    pub limit: u32,
    /// Number of requests queued at the target.
    pub queued: u32,
    /// Load per rank. A target that is not a model engine has a single rank 0.
    pub ranks: Vec<RankLoadReport>,
}

/// Load of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RankLoadReport {
    /// Number of the rank.
    pub rank: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of prompt tokens waiting for prefill.
    pub queued_tokens: u32,
    /// Used fraction of the KV cache, in thousandths.
    pub kv_used_permille: u32,
    /// Time of one decode step; zero if unknown.
    pub step: Duration,
}
