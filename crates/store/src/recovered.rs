//! Contents recovered from a disk.

use crate::{HardState, Identity, Record, Snapshot};

/// Contents of a disk when it was opened.
#[derive(Clone, Debug)]
pub struct Recovered {
    /// Identity of the disk.
    pub identity: Identity,
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Records after the snapshot, without gaps.
    pub records: Vec<Record>,
    /// Number of bytes of a torn write that were truncated from the end of the
    /// log.
    pub truncated_bytes: u64,
}
