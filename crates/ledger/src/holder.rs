//! Who holds a key.

use crate::Attempt;

/// The attempt that holds a key, and where it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The attempt.
    pub attempt: Attempt,
    /// Target that it was sent to.
    pub target: String,
    /// Incarnation of that target's agent.
    pub incarnation: u64,
}
