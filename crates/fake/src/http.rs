//! HTTP requests and responses of the fakes.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body as HttpBody, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::RecordedRequest;

pub(crate) type Body = BoxBody<Bytes, io::Error>;

pub(crate) type HttpResponse = Response<Body>;

/// Result of a handler; an error closes the connection without a response.
pub(crate) type HandlerResult = io::Result<HttpResponse>;

/// Largest request body accepted.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Reads a request with its whole body.
pub(crate) async fn read_request(req: Request<Incoming>) -> io::Result<RecordedRequest> {
    let (head, body) = req.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    let headers = head.headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some((name.as_str().to_owned(), value.to_owned()))
    });
    Ok(RecordedRequest {
        method: head.method.as_str().to_owned(),
        path: head
            .uri
            .path_and_query()
            .map_or_else(|| "/".to_owned(), ToString::to_string),
        headers: headers.collect(),
        body,
    })
}

pub(crate) fn with_body(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> HttpResponse {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

pub(crate) fn json(status: StatusCode, value: &Value) -> HttpResponse {
    with_body(status, "application/json", value.to_string())
}

pub(crate) fn ok(value: &Value) -> HttpResponse {
    json(StatusCode::OK, value)
}

pub(crate) fn error(status: StatusCode, detail: &str) -> HttpResponse {
    json(status, &json!({"error": {"message": detail}}))
}

pub(crate) fn rest_asked(seconds: u64) -> HttpResponse {
    let mut response = error(StatusCode::SERVICE_UNAVAILABLE, "in need of rest");
    response.headers_mut().insert(RETRY_AFTER, seconds.into());
    response
}

/// A response with the events of a queue. It ends with the queue, and is broken off at an
/// error in it.
pub(crate) fn stream(events: mpsc::Receiver<io::Result<Bytes>>) -> HttpResponse {
    let mut response = Response::new(EventBody(events).boxed());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

/// The body of a stream. Events and the error that ends them share one queue, so that an
/// end of the queue is never seen before its last event.
struct EventBody(mpsc::Receiver<io::Result<Bytes>>);

impl HttpBody for EventBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let event = self.0.poll_recv(cx);
        event.map(|event| event.map(|result| result.map(Frame::data)))
    }
}

/// Error that makes a handler close the connection without a response.
pub(crate) fn dropped_by_fault() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "response dropped by fault",
    )
}
