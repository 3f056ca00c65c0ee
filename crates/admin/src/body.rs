//! Request and response bodies.

use std::convert::Infallible;
use std::pin::pin;
use std::time::Duration;

use bytes::{Buf, Bytes};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};

use crate::Problem;

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

/// Reads a whole request body.
///
/// # Errors
///
/// Returns 413 if the body is larger than `max_bytes`, 408 if it does not arrive within
/// `timeout`, and 400 if the connection fails. In each case, the request did not run.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
/// use std::time::Duration;
///
/// let body = admin::full("demo");
/// let problem = admin::read_body(body, 3, Duration::from_secs(20)).await.unwrap_err();
/// assert_eq!(problem.status, 413);
/// # });
/// ```
pub async fn read_body<B>(body: B, max_bytes: usize, timeout: Duration) -> Result<Bytes, Problem>
where
    B: hyper::body::Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let announced = body.size_hint().lower();
    if usize::try_from(announced).map_or(true, |announced| announced > max_bytes) {
        return Err(too_large(max_bytes));
    }
    let Ok(read) = tokio::time::timeout(timeout, collect(body, max_bytes)).await else {
        let detail = format!("the body did not arrive within {} ms", timeout.as_millis());
        return Err(Problem::new(StatusCode::REQUEST_TIMEOUT, detail));
    };
    read
}

/// Copies a body as it arrives. A frame is a part of the connection's much larger read
/// buffer, which is freed only when the last of its frames is dropped.
async fn collect<B>(body: B, max_bytes: usize) -> Result<Bytes, Problem>
where
    B: hyper::body::Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut body = pin!(body);
    let mut collected = Vec::new();
    while let Some(frame) = body.as_mut().frame().await {
        let frame = frame.map_err(|error| broken_off(error.into().as_ref()))?;
        let Ok(mut data) = frame.into_data() else {
            continue;
        };
        if data.remaining() > max_bytes - collected.len() {
            return Err(too_large(max_bytes));
        }
        while data.has_remaining() {
            let chunk = data.chunk();
            collected.extend_from_slice(chunk);
            let copied = chunk.len();
            data.advance(copied);
        }
    }
    Ok(collected.into())
}

fn broken_off(error: &dyn std::error::Error) -> Problem {
    let detail = format!("the body broke off: {error}");
    Problem::new(StatusCode::BAD_REQUEST, detail)
}

fn too_large(max_bytes: usize) -> Problem {
    let detail = format!("the body is larger than {max_bytes} bytes");
    Problem::new(StatusCode::PAYLOAD_TOO_LARGE, detail)
}
