//! Term and vote.

/// Term and vote, kept in the log so that one sync covers them as well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Newest term.
    pub term: u64,
    /// Disk that was voted for in it.
    pub vote: Option<u64>,
}
