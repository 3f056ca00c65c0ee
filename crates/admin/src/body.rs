//! Bodies of requests and responses.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};

use crate::Problem;

/// Body of a response, streamed or whole.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// A response of any daemon.
pub type Response = hyper::Response<Body>;

/// A body that is there as a whole.
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

/// No body.
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

/// A response of JSON.
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

/// Reads a request's body whole.
///
/// # Errors
///
/// 413 when it is larger than `most` bytes, 408 when it takes longer than
/// `within`, 400 when the connection breaks; in each case nothing ran.
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
pub async fn read_body<B>(body: B, most: usize, within: Duration) -> Result<Bytes, Problem>
where
    B: hyper::body::Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let announced = body.size_hint().lower();
    if usize::try_from(announced).map_or(true, |announced| announced > most) {
        return Err(too_large(most));
    }
    let read = Limited::new(body, most).collect();
    match tokio::time::timeout(within, read).await {
        Ok(Ok(collected)) => Ok(tight(collected.to_bytes())),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large(most)),
        Ok(Err(error)) => {
            let detail = format!("the body broke off: {error}");
            Err(Problem::new(StatusCode::BAD_REQUEST, detail))
        }
        Err(_) => {
            let detail = format!("the body did not arrive within {} ms", within.as_millis());
            Err(Problem::new(StatusCode::REQUEST_TIMEOUT, detail))
        }
    }
}

/// A small body in memory of its own: as it came it holds on to the whole of
/// the connection's read buffer, which is many times as large, for as long as
/// its answer takes.
fn tight(body: Bytes) -> Bytes {
    const SMALL: usize = 4 << 10;
    if body.len() > SMALL {
        return body;
    }
    Bytes::copy_from_slice(&body)
}

fn too_large(most: usize) -> Problem {
    let detail = format!("the body is larger than {most} bytes");
    Problem::new(StatusCode::PAYLOAD_TOO_LARGE, detail)
}
