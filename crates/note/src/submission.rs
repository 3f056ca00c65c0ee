//! What became of a submitted note.

use cfg::Finding;

use crate::AcceptedNote;

/// What became of a submitted note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Submission {
    /// It is accepted now.
    Accepted(AcceptedNote),
    /// The same note was accepted before: the first answer again.
    Repeated(AcceptedNote),
    /// Another note holds its number; `None` when that was too long ago to be
    /// remembered.
    Conflict(Option<AcceptedNote>),
    /// Its number isn't the next one, which is given here.
    Gap(u64),
    /// It doesn't fit; nothing of it is applied.
    Invalid(Vec<Finding>),
}
