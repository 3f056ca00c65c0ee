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
    /// All that the target has sent is here: length and checksum match. The last part.
    /// With `End::Unconfirmed` the target may have been about to send more.
    Complete(AnswerEnd),
    /// The answer will never be complete. The last part.
    Failed(AnswerFailure),
}

/// The reason why an answer will never be complete.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerFailure {
    /// The agent ended the answer with a result other than `End::Whole` and
    /// `End::Unconfirmed`.
    Aborted(AnswerEnd),
    /// The agent reported the answer as whole, but the received length or checksum does not
    /// match.
    Corrupted(AnswerEnd),
}
