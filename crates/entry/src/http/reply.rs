//! Conversion of answers of targets to HTTP responses.

use admin::{Body, Problem, Response, full, until_close};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::header::{HeaderName, HeaderValue};
use wire::proto::Header;

use super::headers::is_returned;
use crate::work::{Answer, Confirmation, StreamAnswer};

pub(super) fn buffered(answer: Answer) -> Response {
    let response = response(answer.status, &answer.headers, full(answer.body));
    match answer.confirmation {
        Confirmation::Complete => response,
        Confirmation::Unknown => until_close(response),
    }
}

pub(super) fn streamed(streamed: StreamAnswer) -> Response {
    match streamed {
        StreamAnswer::Buffered(answer) => buffered(answer),
        StreamAnswer::Events { headers, body } => response(200, &headers, body.boxed_unsync()),
    }
}

fn response(status: u32, headers: &[Header], body: Body) -> Response {
    let status = u16::try_from(status).ok();
    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
    let Some(status) = status.filter(|status| !status.is_informational()) else {
        let detail = "the target answered with an impossible status";
        return Problem::new(StatusCode::BAD_GATEWAY, detail).into_response();
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    for header in headers.iter().filter(|header| is_returned(&header.name)) {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        // Headers that are invalid in HTTP are dropped.
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
