//! Term and vote.

/// Term and vote. Stored in the log, so that one sync covers them and the
/// records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Latest term.
    pub term: u64,
    /// Disk that this replica voted for in that term.
    pub vote: Option<u64>,
}
