//! State that a replica persists in addition to its log.

use crate::DiskId;

/// Current term and vote, synced before any message that depends on them is sent, and
/// the commit index, which is persisted later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Latest term seen.
    pub term: u64,
    /// Candidate that this replica voted for in that term.
    pub vote: Option<DiskId>,
    /// Entries up to this index are committed and synced on this replica; 0 if none is
    /// known to be.
    pub commit_index: u64,
}
