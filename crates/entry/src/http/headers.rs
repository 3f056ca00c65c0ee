//! Headers that pass through, and those that don't.

use std::time::{Duration, Instant};

use admin::{HOP_BY_HOP_HEADERS, Problem, connection_options};
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use wire::proto::Header;

/// Headers that the entry or the agent sets itself.
const OWN: [&str; 10] = [
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

/// Headers of a caller that go to the target.
pub(super) fn passed(headers: &HeaderMap) -> Vec<Header> {
    let named = connection_options(headers);
    let passed = headers.iter().filter(|(name, _)| {
        is_passed(name.as_str()) && !named.iter().any(|other| other == name.as_str())
    });
    let passed = passed.map(|(name, value)| Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    passed.collect()
}

/// Whether a header of a target's answer goes to the caller.
pub(super) fn is_answered(name: &str) -> bool {
    is_passed(&name.to_ascii_lowercase())
}

fn is_passed(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS.contains(&name) && !OWN.contains(&name)
}

/// The deadline that the caller asks for, or the default.
pub(super) fn deadline(
    headers: &HeaderMap,
    now: Instant,
    default: Duration,
    max: Duration,
) -> Result<Instant, Problem> {
    let Some(given) = headers.get("x-request-timeout-ms") else {
        return Ok(now + default.min(max));
    };
    let given = given
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    match given {
        Some(ms) if ms > 0 => Ok(now + Duration::from_millis(ms).min(max)),
        _ => {
            let detail = "x-request-timeout-ms is no whole number above 0";
            Err(Problem::new(StatusCode::BAD_REQUEST, detail))
        }
    }
}

/// The caller's trace context, if it is one.
pub(super) fn traceparent(headers: &HeaderMap) -> String {
    let given = headers.get("traceparent").and_then(|v| v.to_str().ok());
    given
        .filter(|text| trace::is_valid_traceparent(text))
        .unwrap_or_default()
        .to_owned()
}
