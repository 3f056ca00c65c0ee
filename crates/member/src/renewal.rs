//! The result of a renewal.

use crate::Refusal;

/// The result of a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Renewal {
    /// The lease was extended, starting now.
    Granted {
        /// Whether the version of the view changed.
        changed: bool,
    },
    /// No lease was granted.
    Refused(Refusal),
}
