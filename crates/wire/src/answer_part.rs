//! Parts of an assembled answer.

use bytes::Bytes;

use crate::proto::{AnswerEnd, AnswerHead};

/// The next part of an answer, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerPart {
    /// Status and headers. Always the first part.
    Head(AnswerHead),
    /// The next bytes of the body.
    Data(Bytes),
    /// The answer is complete: length and checksum match. The last part.
    Complete(AnswerEnd),
    /// The answer will never be complete. The last part.
    Failed(AnswerFailure),
}

/// The reason why an answer will never be complete.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerFailure {
    /// The agent ended the answer with a result other than `End::Whole`.
    Aborted(AnswerEnd),
    /// The agent reported the answer as whole, but the received length or checksum does not
    /// match.
    Corrupted(AnswerEnd),
}
