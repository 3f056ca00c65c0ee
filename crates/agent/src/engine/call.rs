//! One call of a target.

use bytes::Bytes;

/// What an attempt asks of its target.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Names the request in the target's logs and in a cancellation.
    pub request: String,
    /// HTTP method, for plain services.
    pub method: String,
    /// Path and query, for plain services.
    pub path: String,
    /// The caller's headers.
    pub headers: Vec<(String, Bytes)>,
    /// Body.
    pub body: Bytes,
    /// Rank of the group that is to run it.
    pub rank: u32,
    /// Priority of the client account.
    pub priority: u32,
    /// Server-sent events that the caller already has.
    pub resume_events: u64,
    /// Trace context of this hop.
    pub traceparent: String,
    /// Whether it may be run again.
    pub repeats: Repeats,
}

/// Whether a call may be run again when its first run is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeats {
    /// It must not.
    #[default]
    Never,
    /// It may.
    Freely,
}
