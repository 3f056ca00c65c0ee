//! Unknown outcomes.

use crate::Holder;

/// Unknown outcome of a call: it is not known whether the call ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownOutcome {
    /// Why the outcome is unknown.
    pub reason: String,
    /// The attempt, if it is not proved to have ended. Its answer is still
    /// accepted, and the key stays claimed until then.
    pub holder: Option<Holder>,
}
