//! Result of submitting a note.

use cfg::Finding;

use crate::AcceptedNote;

/// The result of submitting a note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Submission {
    /// The note was accepted by this submission.
    Accepted(AcceptedNote),
    /// The same note was accepted before; contains the original answer.
    Repeated(AcceptedNote),
    /// A different note has this number; `None` if its record is no longer kept.
    Conflict(Option<AcceptedNote>),
    /// The number isn't the next one; contains the next number.
    Gap(u64),
    /// The note is invalid; nothing was applied.
    Invalid(Vec<Finding>),
}
