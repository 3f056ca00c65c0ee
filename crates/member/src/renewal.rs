//! The answer to a renewal.

use crate::Refusal;

/// The answer to a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Renewal {
    /// The lease runs from now.
    Granted {
        /// Whether the view has another version than before.
        changed: bool,
    },
    /// No lease.
    Refused(Refusal),
}
