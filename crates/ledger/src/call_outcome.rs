//! How a call ended.

use crate::Answer;

/// The result that a finish records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target's whole answer, which proves that the attempt ended.
    Answer(Answer),
    /// Nobody can tell whether the call ran or will yet run, and why.
    Unknown(String),
}

impl From<Answer> for CallOutcome {
    fn from(answer: Answer) -> Self {
        CallOutcome::Answer(answer)
    }
}
