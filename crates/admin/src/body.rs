//! Bodies of requests and responses.

use std::convert::Infallible;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};

use crate::Problem;

/// Bytes of a refused body that are still taken in.
const DISCARD_BYTES: usize = 256 << 20;
/// Time for which a refused body is still taken in.
const DISCARD_TIME: Duration = Duration::from_secs(20);

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
    B: hyper::body::Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let announced = body.size_hint().lower();
    if usize::try_from(announced).map_or(true, |announced| announced > most) {
        tokio::spawn(discard(body));
        return Err(too_large(most));
    }
    let read = tokio::time::timeout(within, read_most(body, most)).await;
    read.unwrap_or_else(|_| {
        let detail = format!("the body did not arrive within {} ms", within.as_millis());
        Err(Problem::new(StatusCode::REQUEST_TIMEOUT, detail))
    })
}

async fn read_most<B>(mut body: B, most: usize) -> Result<Bytes, Problem>
where
    B: hyper::body::Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| broken(error.into().as_ref()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if read.len() + data.remaining() > most {
            tokio::spawn(discard(body));
            return Err(too_large(most));
        }
        read.put(data);
    }
    Ok(read.freeze())
}

/// Takes in what is left of a refused body, within bounds, while the answer goes out.
///
/// Many callers write their whole body before they read. A connection that is closed
/// with unread bytes is reset, and such a caller sees a broken pipe instead of the
/// answer that tells what was wrong.
async fn discard<B: hyper::body::Body + Unpin>(mut body: B) {
    let mut left = DISCARD_BYTES;
    let discarding = async {
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Buf::remaining);
            left = left.saturating_sub(length);
            if left == 0 {
                break;
            }
        }
    };
    // The bounds only limit what a caller that never stops can cost.
    let _ = tokio::time::timeout(DISCARD_TIME, discarding).await;
}

fn broken(error: &(dyn std::error::Error + Send + Sync)) -> Problem {
    let detail = format!("the body broke off: {error}");
    Problem::new(StatusCode::BAD_REQUEST, detail)
}

fn too_large(most: usize) -> Problem {
    let detail = format!("the body is larger than {most} bytes");
    Problem::new(StatusCode::PAYLOAD_TOO_LARGE, detail)
}
