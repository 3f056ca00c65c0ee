//! The response of a target.

use admin::Body;
use hyper::{HeaderMap, StatusCode};
use outlet::Framing;

/// A target's response: status, headers and body as the target sent them.
#[derive(Debug)]
pub struct TargetResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers, including hop-by-hop ones.
    pub headers: HeaderMap,
    /// Body. It yields an error if the target's body was truncated; the
    /// connection to the caller must then not end as if the body were complete.
    pub body: Body,
    /// How the end of the target's body is recognised. The response to the caller must not
    /// be delimited if this one is not: its body may have been truncated.
    pub framing: Framing,
}
