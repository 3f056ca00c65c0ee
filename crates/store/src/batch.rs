//! What is written as one.

use crate::{HardState, Record, Snapshot};

/// What is written as one.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// A snapshot from elsewhere that replaces the whole log.
    pub snapshot: Option<Snapshot>,
    /// Term and vote.
    pub hard_state: HardState,
    /// Records; one replaces all of its index and after.
    pub records: Vec<Record>,
}
