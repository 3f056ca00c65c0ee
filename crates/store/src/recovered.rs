//! What a disk held when it was opened.

use crate::{HardState, Identity, Record, Snapshot};

/// What a disk held when it was opened.
#[derive(Clone, Debug)]
pub struct Recovered {
    /// Who the disk is.
    pub identity: Identity,
    /// Term and vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The records after it, without gap.
    pub records: Vec<Record>,
    /// Bytes of a torn write that were cut off the end of the log.
    pub truncated_bytes: u64,
}
