//! Responses whose body ends with the connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Version;
use hyper::body::{Body as _, Frame, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};

use crate::{Body, Response};

/// Makes a response end with its connection, without a length or chunks.
///
/// An HTTP/1.1 client accepts such a response, and only the version lets the server send
/// one. If the body yields an error, or the process ends before the body does, the
/// connection is reset, which tells the client that the body is not complete.
///
/// ```
/// let response = admin::until_close(admin::Response::new(admin::full("demo")));
/// assert_eq!(response.headers()["connection"], "close");
/// assert_eq!(response.version(), hyper::Version::HTTP_10);
/// ```
#[must_use]
pub fn until_close(response: Response) -> Response {
    let mut response = response.map(|inner| UnsizedBody { inner }.boxed_unsync());
    *response.version_mut() = Version::HTTP_10;
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Whether the server ends a response to a request of this version with the connection.
pub(crate) fn ends_with_connection(response: &Response, request_version: Version) -> bool {
    let is_old = [response.version(), request_version].contains(&Version::HTTP_10);
    let body = response.body();
    is_old && !body.is_end_stream() && body.size_hint().exact().is_none()
}

/// A body without a known length.
struct UnsizedBody {
    inner: Body,
}

impl hyper::body::Body for UnsizedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// Reports through `unfinished` whether a body has ended.
pub(crate) struct TrackedBody {
    inner: Body,
    unfinished: Arc<AtomicBool>,
}

impl TrackedBody {
    pub(crate) fn new(inner: Body, unfinished: Arc<AtomicBool>) -> TrackedBody {
        unfinished.store(true, Ordering::Relaxed);
        TrackedBody { inner, unfinished }
    }
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = Pin::new(&mut self.inner).poll_frame(cx);
        if matches!(frame, Poll::Ready(None)) {
            self.unfinished.store(false, Ordering::Relaxed);
        }
        frame
    }
}
