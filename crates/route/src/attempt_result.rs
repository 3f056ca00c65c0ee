//! How an attempt ended, as far as the choice of target cares.

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The answer is whole.
    Completed,
    /// The target said that it has no room.
    Full,
    /// The target was lost or broke the answer off.
    Failed,
    /// The caller went away, or the attempt never started.
    Cancelled,
}
