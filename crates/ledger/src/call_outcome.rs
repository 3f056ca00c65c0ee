//! Outcomes of calls.

use crate::Answer;

/// Outcome recorded by [`Ledger::finish`](crate::Ledger::finish).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Complete answer of the target, which proves that the attempt ended.
    Answer(Answer),
    /// It is not known whether the call ran or will still run; holds the
    /// reason.
    Unknown(String),
}

impl From<Answer> for CallOutcome {
    fn from(answer: Answer) -> Self {
        CallOutcome::Answer(answer)
    }
}
