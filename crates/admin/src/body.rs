//! Response bodies.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};

/// A response body, streamed or buffered.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// An HTTP response of a daemon.
pub type Response = hyper::Response<Body>;

/// Creates a fully buffered body.
///
/// ```
/// use hyper::body::Body as _;
///
/// assert_eq!(admin::full("demo").size_hint().exact(), Some(4));
/// ```
pub fn full(bytes: impl Into<Bytes>) -> Body {
    let body = Full::new(bytes.into());
    body.map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Creates an empty body.
///
/// ```
/// use hyper::body::Body as _;
///
/// assert!(admin::empty().is_end_stream());
/// ```
#[must_use]
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Creates a JSON response.
///
/// ```
/// let response = admin::json(hyper::StatusCode::OK, "{}");
/// assert_eq!(response.headers()["content-type"], "application/json");
/// ```
pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Response {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
