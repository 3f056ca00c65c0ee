//! What a replica must not forget beside its log.

use crate::DiskId;

/// Term and vote: synced before any message that rests on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Newest term heard of.
    pub term: u64,
    /// Whom this replica voted for in that term.
    pub vote: Option<DiskId>,
}
