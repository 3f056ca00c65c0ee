//! Forwarded and reserved HTTP headers.

use std::time::{Duration, Instant};

use admin::{HOP_BY_HOP_HEADERS, Problem, connection_options};
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use wire::proto::Header;

/// Headers that are set by the entry or the agent and not forwarded.
const RESERVED: [&str; 10] = [
    "authorization",
    "expect",
    "host",
    "proxy-authorization",
    "traceparent",
    "x-priority",
    "x-rank",
    "x-request-id",
    "x-request-timeout-ms",
    "x-resume-events",
];

/// Headers of a caller's request that are forwarded to the target.
pub(super) fn forwarded(headers: &HeaderMap) -> Vec<Header> {
    let connection_headers = connection_options(headers);
    let forwarded = headers.iter().filter(|(name, _)| {
        is_forwarded(name.as_str())
            && !connection_headers
                .iter()
                .any(|other| other == name.as_str())
    });
    let forwarded = forwarded.map(|(name, value)| Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    forwarded.collect()
}

/// Whether a header of a target's answer is returned to the caller.
pub(super) fn is_returned(name: &str) -> bool {
    is_forwarded(&name.to_ascii_lowercase())
}

fn is_forwarded(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS.contains(&name) && !RESERVED.contains(&name)
}

/// Computes the deadline from the `x-request-timeout-ms` header, or from `default`
/// without it. Timeouts are capped at `max`.
pub(super) fn deadline(
    headers: &HeaderMap,
    now: Instant,
    default: Duration,
    max: Duration,
) -> Result<Instant, Problem> {
    let Some(value) = headers.get("x-request-timeout-ms") else {
        return Ok(now + default.min(max));
    };
    let value = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    match value {
        Some(ms) if ms > 0 => Ok(now + Duration::from_millis(ms).min(max)),
        _ => {
            let detail = "x-request-timeout-ms is no whole number above 0";
            Err(Problem::new(StatusCode::BAD_REQUEST, detail))
        }
    }
}

/// Returns the caller's trace context, or an empty string if it is absent or invalid.
pub(super) fn traceparent(headers: &HeaderMap) -> String {
    let value = headers.get("traceparent").and_then(|v| v.to_str().ok());
    value
        .filter(|text| trace::is_valid_traceparent(text))
        .unwrap_or_default()
        .to_owned()
}
