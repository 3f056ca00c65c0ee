//! What a target reports of its load.

use std::time::{Duration, Instant};

/// Load of one target, as it was when the target took the figures.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetLoadReport {
    /// When the figures were taken, on the entry's clock.
    pub taken_at: Instant,
    /// Requests that may run at once; 0 when the target doesn't say.
    pub limit: u32,
    /// Requests that wait for a place at the target.
    pub queued: u32,
    /// One row a rank. A plain service has one rank, number 0.
    pub ranks: Vec<RankLoadReport>,
}

/// Load of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RankLoadReport {
    /// The rank's number.
    pub rank: u32,
    /// Requests that run on it.
    pub running: u32,
    /// Prompt tokens that wait for their prefill.
    pub queued_tokens: u32,
    /// KV cache in use, in thousandths.
    pub kv_used_permille: u32,
    /// Time of one step; zero when unknown.
    pub step: Duration,
}
