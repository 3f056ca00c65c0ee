//! An outcome that nobody knows.

use crate::Holder;

/// Whether the call ran isn't known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownOutcome {
    /// Why.
    pub reason: String,
    /// The attempt, if nobody has proved that it ended: its answer would
    /// still be taken, and the key isn't free before.
    pub holder: Option<Holder>,
}
