//! What became of one request.

use std::time::Duration;

/// How one request ended, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Ending {
    /// Answered, and whole.
    Done,
    /// Told that it did not run.
    Refused,
    /// Told that nobody can learn whether it ran, or never answered.
    Unknown,
    /// A stream that ended before its end.
    Broken,
    /// Any other error.
    Failed,
}

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Kind {
    /// Streamed model request.
    Chat,
    /// Read at the plain service.
    Read,
    /// Non-repeatable call.
    Write,
    /// Non-repeatable call that is sent twice at once.
    Raced,
}

/// What became of one request.
#[derive(Debug, Clone)]
pub(super) struct Outcome {
    pub(super) kind: Kind,
    pub(super) ending: Ending,
    /// When it was planned, from the begin of the load.
    pub(super) planned: Duration,
    /// From the planned time to the first token, or to the answer.
    pub(super) first: Option<Duration>,
    /// Between tokens.
    pub(super) gaps: Vec<Duration>,
    /// Events that belong to another request's answer.
    pub(super) foreign: u64,
    /// Answers to one key that differ.
    pub(super) differing: u64,
    /// Key of a non-repeatable call.
    pub(super) key: Option<String>,
    /// What went wrong, for people.
    pub(super) detail: Option<String>,
}

impl Outcome {
    pub(super) fn new(kind: Kind, planned: Duration) -> Self {
        Outcome {
            kind,
            ending: Ending::Failed,
            planned,
            first: None,
            gaps: Vec::new(),
            foreign: 0,
            differing: 0,
            key: None,
            detail: None,
        }
    }
}
