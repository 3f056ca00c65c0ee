//! The result of an attempt, as relevant to the choice of target.

/// The result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The answer is complete.
    Completed,
    /// The target refused the request because it was full.
    Full,
    /// The target was lost or the answer was interrupted.
    Failed,
    /// The caller disconnected, or the attempt never started.
    Cancelled,
}
