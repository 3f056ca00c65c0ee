//! Batches of log writes.

use crate::{HardState, Record, Snapshot};

/// Data written with one call of [`Disk::write`](crate::Disk::write).
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Snapshot received from another replica, which replaces the whole log.
    pub snapshot: Option<Snapshot>,
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// Records to append. A record replaces all records at the same and higher
    /// indices.
    pub records: Vec<Record>,
}
