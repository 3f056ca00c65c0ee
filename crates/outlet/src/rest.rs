//! The rest for which a target asks when it turns a request away.

use hyper::header::{DATE, RETRY_AFTER};
use hyper::{HeaderMap, StatusCode};
use std::time::Duration;

/// How long a target that turns a request away with 503 wants no more requests, by its
/// `Retry-After` (RFC 9110, section 10.2.3). A date counts from the target's own `Date`, as
/// its clock may differ from that of this host.
///
/// ```
/// use hyper::{HeaderMap, StatusCode};
/// use std::time::Duration;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("retry-after", "1.5".parse().unwrap());
/// let rest = |status| outlet::rest_asked(status, &headers);
/// assert_eq!(rest(StatusCode::SERVICE_UNAVAILABLE), Some(Duration::from_millis(1_500)));
/// assert_eq!(rest(StatusCode::OK), None);
/// ```
#[must_use]
pub fn rest_asked(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?.trim();
    let rest = match text.parse() {
        Ok(seconds) => Duration::try_from_secs_f64(seconds).ok(),
        Err(_) => until_date(text, headers.get(DATE)?.to_str().ok()?),
    };
    rest.filter(|rest| !rest.is_zero())
}

fn until_date(until: &str, now: &str) -> Option<Duration> {
    let until = httpdate::parse_http_date(until).ok()?;
    let now = httpdate::parse_http_date(now).ok()?;
    until.duration_since(now).ok()
}
