//! Headers that pass through, and those that don't.

use std::time::{Duration, Instant};

use admin::Problem;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use wire::proto::Header;

/// Headers of one connection (RFC 9110, section 7.6.1), and those that the
/// entry or the agent sets itself.
const NOT_PASSED: [&str; 18] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "traceparent",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-priority",
    "x-rank",
    "x-request-id",
    "x-request-timeout-ms",
    "x-resume-events",
];

/// Headers of a caller that go to the target.
pub(super) fn passed(headers: &HeaderMap) -> Vec<Header> {
    let named = named_by_connection(headers);
    let passed = headers.iter().filter(|(name, _)| {
        !NOT_PASSED.contains(&name.as_str()) && !named.iter().any(|other| other == name.as_str())
    });
    let passed = passed.map(|(name, value)| Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    passed.collect()
}

/// Whether a header of a target's answer goes to the caller.
pub(super) fn is_answered(name: &str) -> bool {
    !NOT_PASSED.contains(&name.to_ascii_lowercase().as_str())
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
        .filter(|text| trace::is_valid(text))
        .unwrap_or_default()
        .to_owned()
}

fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all("connection").into_iter();
    let values = values.filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}
