//! Requests and responses of the stand-ins.

use std::io;

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};

use crate::RecordedRequest;

pub(crate) type Body = BoxBody<Bytes, io::Error>;

pub(crate) type Answer = Response<Body>;

/// What a handler gives back; an error closes the connection unanswered.
pub(crate) type Reply = io::Result<Answer>;

/// Bytes of a request body that a stand-in reads.
const MAX_BODY: usize = 64 << 20;

/// Reads a request whole.
pub(crate) async fn read(req: Request<Incoming>) -> io::Result<RecordedRequest> {
    let (head, body) = req.into_parts();
    let body = Limited::new(body, MAX_BODY).collect().await;
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

pub(crate) fn full(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Answer {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

pub(crate) fn json(status: StatusCode, value: &Value) -> Answer {
    full(status, "application/json", value.to_string())
}

pub(crate) fn ok(value: &Value) -> Answer {
    json(StatusCode::OK, value)
}

pub(crate) fn problem(status: StatusCode, detail: &str) -> Answer {
    json(status, &json!({"error": {"message": detail}}))
}

pub(crate) fn stream(body: Channel<Bytes, io::Error>) -> Answer {
    let mut response = Response::new(body.boxed());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

/// Closes the connection without an answer.
pub(crate) fn lost() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "answer lost by fault")
}
