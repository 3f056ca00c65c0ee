//! Error responses as `application/problem+json` (RFC 9457).

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use serde_json::{Map, Value};

use crate::{Ran, Response, full};

/// An error response, which also says whether the request ran.
#[derive(Debug, Clone, PartialEq)]
pub struct Problem {
    /// HTTP status.
    pub status: StatusCode,
    /// Human-readable description.
    pub detail: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// The request id.
    pub request: Option<String>,
    /// Time after which the request may be retried.
    pub retry_after: Option<Duration>,
    /// Additional members of the JSON object.
    pub members: Map<String, Value>,
}

impl Problem {
    /// Creates a problem for a request that did not run.
    ///
    /// ```
    /// use hyper::StatusCode;
    /// use std::time::Duration;
    ///
    /// let mut problem = admin::Problem::new(StatusCode::SERVICE_UNAVAILABLE, "no target is free");
    /// problem.retry_after = Some(Duration::from_millis(1_200));
    /// let response = problem.into_response();
    /// assert_eq!(response.headers()["retry-after"], "2");
    /// assert_eq!(response.headers()["content-type"], "application/problem+json");
    /// ```
    #[must_use]
    pub fn new(status: StatusCode, detail: impl Into<String>) -> Self {
        Problem {
            status,
            detail: detail.into(),
            ran: Ran::No,
            request: None,
            retry_after: None,
            members: Map::new(),
        }
    }

    /// Creates a 401 problem for a request without a known key or token.
    ///
    /// ```
    /// let response = admin::Problem::unauthorized("no bearer key").into_response();
    /// assert_eq!(response.headers()["www-authenticate"], "Bearer");
    /// ```
    #[must_use]
    pub fn unauthorized(detail: impl Into<String>) -> Self {
        Problem::new(StatusCode::UNAUTHORIZED, detail)
    }

    /// Converts the problem to a JSON object.
    ///
    /// ```
    /// let problem = admin::Problem::new(hyper::StatusCode::NOT_FOUND, "unknown model \"x\"");
    /// assert_eq!(problem.to_json()["title"], "Not Found");
    /// assert_eq!(problem.to_json()["ran"], "no");
    /// ```
    #[must_use]
    pub fn to_json(&self) -> Value {
        let title = self.status.canonical_reason().unwrap_or("Error");
        let mut members = self.members.clone();
        // "about:blank": no semantics beyond the status code (RFC 9457, section 4.2.1).
        members.insert("type".to_owned(), "about:blank".into());
        members.insert("title".to_owned(), title.into());
        members.insert("status".to_owned(), self.status.as_u16().into());
        members.insert("detail".to_owned(), self.detail.as_str().into());
        members.insert("ran".to_owned(), self.ran.as_str().into());
        if let Some(request) = &self.request {
            members.insert("request".to_owned(), request.as_str().into());
        }
        Value::Object(members)
    }

    /// Converts the problem to an HTTP response.
    ///
    /// ```
    /// let problem = admin::Problem::new(hyper::StatusCode::NOT_FOUND, "no such page");
    /// assert_eq!(problem.into_response().status(), 404);
    /// ```
    #[must_use]
    pub fn into_response(self) -> Response {
        let mut response = Response::new(full(self.to_json().to_string()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let kind = HeaderValue::from_static("application/problem+json");
        headers.insert(CONTENT_TYPE, kind);
        if let Some(after) = self.retry_after {
            // Whole seconds (RFC 9110, section 10.2.3), rounded up.
            let seconds = u64::try_from(after.as_millis().div_ceil(1_000)).unwrap_or(u64::MAX);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        let body_unread = [StatusCode::PAYLOAD_TOO_LARGE, StatusCode::REQUEST_TIMEOUT];
        if body_unread.contains(&self.status) {
            // The rest of the body is not read, so the connection can't be reused.
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
