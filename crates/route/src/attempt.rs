//! Where an attempt runs.

use std::time::Instant;

use crate::{AttemptKey, Suspicion, TargetKey};

/// Where and since when an attempt runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) key: AttemptKey,
    pub(crate) target: TargetKey,
    pub(crate) incarnation: Instant,
    pub(crate) rank: u32,
    pub(crate) tokens: u32,
    pub(crate) suspicion: Suspicion,
    pub(crate) started: Instant,
    pub(crate) expected: f64,
    pub(crate) first: Option<Instant>,
}
