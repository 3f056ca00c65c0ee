//! Holders of keys.

use crate::Attempt;

/// Attempt that holds a key, and the target to which it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Attempt that holds the key.
    pub attempt: Attempt,
    /// Target to which the attempt was sent.
    pub target: String,
    /// Incarnation of the agent of that target.
    pub incarnation: u64,
}
