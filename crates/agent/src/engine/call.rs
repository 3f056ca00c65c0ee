//! A request to the target.

use bytes::Bytes;

/// The request that an attempt sends to its target.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Id of the request in the target's logs and in cancellations.
    pub request: String,
    /// HTTP method, for plain services.
    pub method: String,
    /// Path and query, for plain services.
    pub path: String,
    /// The caller's headers.
    pub headers: Vec<(String, Bytes)>,
    /// Body.
    pub body: Bytes,
    /// Rank of the group that runs it.
    pub rank: u32,
    /// Priority of the client account.
    pub priority: u32,
    /// Number of server-sent events that the caller has already received.
    pub resume_events: u64,
    /// Trace context of this hop.
    pub traceparent: String,
    /// Whether it may be run again.
    pub retry: Retry,
}

/// Whether a call may be run again when its first run is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Retry {
    /// It must not be run again.
    #[default]
    Never,
    /// It may be run again.
    Allowed,
}
