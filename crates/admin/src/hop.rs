//! Hop-by-hop headers.

use hyper::HeaderMap;
use hyper::header::CONNECTION;

/// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1), and
/// `content-length`, which is determined by the forwarded body.
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

/// Returns the headers that a message declares as hop-by-hop in its `Connection`
/// header, in lower case.
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

/// Returns the end-to-end headers, which are to be forwarded.
///
/// ```
/// let mut headers = hyper::HeaderMap::new();
/// headers.insert("connection", "close, X-Seen".parse().unwrap());
/// headers.insert("x-seen", "1".parse().unwrap());
/// headers.insert("accept", "text/html".parse().unwrap());
/// let forwarded = admin::end_to_end_headers(&headers);
/// assert_eq!(forwarded.keys().collect::<Vec<_>>(), ["accept"]);
/// ```
#[must_use]
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in connection_options(headers) {
        forwarded.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}
