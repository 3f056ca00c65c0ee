//! How a call ended.

use crate::Answer;

/// The result that a finish records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The target's whole answer, which proves that the attempt ended.
    Answer(Answer),
    /// Nobody can tell whether the call ran or will yet run, and why.
    Unknown(String),
}

impl From<Answer> for Verdict {
    fn from(answer: Answer) -> Self {
        Verdict::Answer(answer)
    }
}
