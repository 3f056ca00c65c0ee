//! Headers that a deployment uses in addition to standard HTTP.

use hyper::{HeaderMap, StatusCode};
use route::ReportedLoad;
use std::time::Duration;

/// Data that a target receives along with a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestMetadata<'a> {
    /// Id of the intended target; another one at the same address must not run
    /// the request.
    pub target: &'a str,
    /// Client account of the caller.
    pub account: Option<&'a str>,
    /// Time left until the response is due.
    pub time_left: Duration,
    /// Id of the last event received, for a stream that is resumed.
    pub last_event_id: Option<u64>,
    /// How urgent the request is among those of its service, from 0, the most urgent, to
    /// [`MAX_URGENCY`]; none if they are all alike.
    pub urgency: Option<u8>,
}

/// The value of [`RequestMetadata::urgency`] for the least urgent requests.
pub const MAX_URGENCY: u8 = 9;

/// Information from the head of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseInfo {
    /// Whether the response belongs to the request, and whether it ran.
    pub verdict: Verdict,
    /// Whether and how long the target keeps the connection open.
    pub keep_alive: KeepAlive,
    /// The load that the target reports, if any.
    pub load: Option<ReportedLoad>,
    /// The requests a second that the target takes from all entries together, if it names
    /// a limit.
    pub limit: Option<f64>,
    /// How long the target wants no more requests from this entry, if it turned this one
    /// away.
    pub rest: Option<Duration>,
    /// Whether the target says that it leaves.
    pub leaving: bool,
}

/// Whether a response belongs to the request, and whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The response belongs to the request and carries the target's mark.
    Verified,
    /// The response belongs to the request and lacks the target's mark. A
    /// success without the mark is not trusted.
    Unverified,
    /// The target reports that it did not run the request.
    NotRun,
    /// Another target now has the address, and did not run the request.
    Replaced,
    /// The response belongs to another request.
    OtherRequest,
}

/// How long a target keeps a connection open after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// The target closes the connection.
    Close,
    /// The target keeps an idle connection open for this long.
    Timeout(Duration),
    /// The response does not say.
    Unspecified,
}

/// Writes and reads the headers that a deployment uses in addition to standard
/// HTTP.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Adds the metadata to the headers of a request.
    pub write_headers: fn(&RequestMetadata<'_>, &mut HeaderMap),
    /// Reads the head of the response to the request with the given id.
    pub read_head: fn(&str, StatusCode, &HeaderMap) -> ResponseInfo,
}
