//! A running attempt.

use std::time::Instant;

use crate::{AttemptKey, Suspicion, TargetKey};

/// A running attempt on a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) key: AttemptKey,
    pub(crate) target: TargetKey,
    pub(crate) incarnation: Instant,
    pub(crate) rank: u32,
    pub(crate) tokens: u32,
    pub(crate) suspicion: Suspicion,
    pub(crate) started: Instant,
    /// Expected time to the first token, in seconds.
    pub(crate) expected: f64,
    pub(crate) first_token_at: Option<Instant>,
}
