//! Outcome of one request.

use std::time::Duration;

/// How one request ended, as seen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum OutcomeStatus {
    /// Complete response.
    Done,
    /// The caller was told that the request did not run.
    Refused,
    /// The caller was told that the result is unknown, or got no response.
    Unknown,
    /// The stream ended before it was complete.
    Broken,
    /// Any other error.
    Failed,
}

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RequestKind {
    /// Streamed model request.
    Chat,
    /// Read from the plain service.
    Read,
    /// Non-repeatable call.
    Write,
    /// Non-repeatable call that is sent twice concurrently.
    Raced,
}

/// Outcome of one request.
#[derive(Debug, Clone)]
pub(super) struct Outcome {
    pub(super) kind: RequestKind,
    pub(super) status: OutcomeStatus,
    /// Planned send time, from the start of the load.
    pub(super) planned_at: Duration,
    /// Time from the planned send time to the first token or the response.
    pub(super) latency: Option<Duration>,
    /// Times between consecutive tokens.
    pub(super) token_gaps: Vec<Duration>,
    /// Events that belong to the response to another request.
    pub(super) foreign_events: u64,
    /// Conflicting responses for the same idempotency key.
    pub(super) differing_responses: u64,
    /// Idempotency key of a non-repeatable call.
    pub(super) key: Option<String>,
    /// Description of the failure.
    pub(super) detail: Option<String>,
}

impl Outcome {
    pub(super) fn new(kind: RequestKind, planned_at: Duration) -> Self {
        Outcome {
            kind,
            status: OutcomeStatus::Failed,
            planned_at,
            latency: None,
            token_gaps: Vec::new(),
            foreign_events: 0,
            differing_responses: 0,
            key: None,
            detail: None,
        }
    }
}
