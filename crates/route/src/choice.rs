//! The target chosen for a request.

use std::time::Duration;

use crate::TargetKey;

/// The target and rank chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetKey,
    /// The rank within the group; 0 for a service that is not a model engine.
    pub rank: u32,
    /// Expected time to the first token.
    pub expected: Duration,
}
