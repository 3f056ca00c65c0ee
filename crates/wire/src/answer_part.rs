//! What the frames of an answer amount to.

use bytes::Bytes;

use crate::proto::{AnswerEnd, AnswerHead};

/// The next part of an answer, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerPart {
    /// Status and headers; the first piece, once.
    Head(AnswerHead),
    /// The next bytes of the body.
    Data(Bytes),
    /// The answer is whole: length and checksum match. The last piece.
    Complete(AnswerEnd),
    /// The answer will never be whole. The last piece.
    Failed(AnswerFailure),
}

/// Why an answer will never be whole.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerFailure {
    /// The agent ended it otherwise than as whole.
    Aborted(AnswerEnd),
    /// The agent says that it is whole, but length, checksum or head say
    /// that it isn't what the agent received.
    Corrupted(AnswerEnd),
}
