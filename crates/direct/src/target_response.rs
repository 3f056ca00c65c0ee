//! What a caller gets of its target.

use admin::Body;
use hyper::{HeaderMap, StatusCode};

/// A target's own answer: status, headers and bytes as it gave them.
#[derive(Debug)]
pub struct TargetResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body; it fails where the target's broke off, and then the caller's
    /// connection must not end as if it were whole.
    pub body: Body,
}
