//! How a deployment's targets are spoken to beside plain HTTP.

use hyper::{HeaderMap, StatusCode};
use route::ReportedLoad;
use std::time::Duration;

/// What a target is told with a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestMetadata<'a> {
    /// The target that is meant; another one at its address must not run it.
    pub target: &'a str,
    /// The caller's client account.
    pub account: Option<&'a str>,
    /// Time that is left for the answer.
    pub time_left: Duration,
    /// Last event that is here of a stream that goes on.
    pub last_event_id: Option<u64>,
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseInfo {
    /// What is known of the answer and of the request's run.
    pub verdict: Verdict,
    /// How long the target keeps the connection.
    pub keep_alive: KeepAlive,
    /// Its load, if it tells.
    pub load: Option<ReportedLoad>,
}

/// What is known of an answer and of the request's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It answers the request, and the target vouches for it.
    Verified,
    /// It answers the request, and the target doesn't vouch for it: a success
    /// is none.
    Unverified,
    /// The target says that it did not run the request.
    NotRun,
    /// Another target has the address, and did not run the request.
    Replaced,
    /// It answers another request.
    OtherRequest,
}

/// How long a target keeps a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// It closes it.
    Close,
    /// It keeps it for so long.
    Timeout(Duration),
    /// It doesn't say.
    Unspecified,
}

/// How a deployment's targets are spoken to beside plain HTTP.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Adds to the headers what the target is told.
    pub write_headers: fn(&RequestMetadata<'_>, &mut HeaderMap),
    /// Reads the head of the answer to the request of that id.
    pub read_head: fn(&str, StatusCode, &HeaderMap) -> ResponseInfo,
}
