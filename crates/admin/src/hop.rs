//! Headers that end with the connection that they came on.

use hyper::HeaderMap;
use hyper::header::CONNECTION;

/// Headers that belong to one connection and aren't passed on (RFC 9110,
/// section 7.6.1), and the length, which follows from the body.
pub const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers that a message says are for its connection alone, in lower case.
///
/// ```
/// let mut headers = hyper::HeaderMap::new();
/// headers.insert("connection", "close, X-Seen".parse().unwrap());
/// assert_eq!(admin::connection_options(&headers), ["close", "x-seen"]);
/// ```
#[must_use]
pub fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).into_iter();
    let values = values.filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}

/// The headers that go further than the connection they came on.
///
/// ```
/// let mut headers = hyper::HeaderMap::new();
/// headers.insert("connection", "close, X-Seen".parse().unwrap());
/// headers.insert("x-seen", "1".parse().unwrap());
/// headers.insert("accept", "text/html".parse().unwrap());
/// let passed = admin::end_to_end_headers(&headers);
/// assert_eq!(passed.keys().collect::<Vec<_>>(), ["accept"]);
/// ```
#[must_use]
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    for name in connection_options(headers) {
        passed.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        passed.remove(name);
    }
    passed
}
