//! Term, vote and commit index.

/// Term, vote and commit index. Stored in the log, so that one sync covers them and
/// the records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Latest term.
    pub term: u64,
    /// Disk that this replica voted for in that term.
    pub vote: Option<u64>,
    /// Records up to this index were committed when this was written; 0 if none is
    /// known to be. Such records must have been synced before.
    pub commit: u64,
}
