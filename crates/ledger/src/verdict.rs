//! How a call ended.

use crate::Answer;

/// The result that a finish records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The target's whole answer.
    Answer(Answer),
    /// Whether the call ran can't be learnt any more, and why.
    Unknown(String),
}

impl From<Answer> for Verdict {
    fn from(answer: Answer) -> Self {
        Verdict::Answer(answer)
    }
}
