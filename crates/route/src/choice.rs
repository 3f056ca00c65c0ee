//! Where a request is to run.

use std::time::Duration;

use crate::TargetKey;

/// The chosen target and rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetKey,
    /// The rank inside the group; 0 for a plain service.
    pub rank: u32,
    /// Time to the first token that is expected there.
    pub expected: Duration,
}
