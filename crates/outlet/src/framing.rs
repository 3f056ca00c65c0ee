//! Where the body of a response ends, and whether it is complete.

use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, StatusCode};

/// How the end of a response body is recognised (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length or final chunk, or because it has none.
    Delimited,
    /// By the end of the connection, also if the target crashes.
    UntilClose,
}

impl Framing {
    /// The framing of the response to a request with this method.
    ///
    /// ```
    /// use hyper::{HeaderMap, Method, StatusCode};
    /// use outlet::Framing;
    ///
    /// let mut headers = HeaderMap::new();
    /// let framing = |headers: &HeaderMap| Framing::of_response(&Method::GET, StatusCode::OK, headers);
    /// assert_eq!(framing(&headers), Framing::UntilClose);
    /// headers.insert("content-length", 4.into());
    /// assert_eq!(framing(&headers), Framing::Delimited);
    /// ```
    #[must_use]
    pub fn of_response(method: &Method, status: StatusCode, headers: &HeaderMap) -> Framing {
        let has_no_body = *method == Method::HEAD
            || status.is_informational()
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        let delimited = if headers.contains_key(TRANSFER_ENCODING) {
            is_chunked(headers)
        } else {
            headers.contains_key(CONTENT_LENGTH)
        };
        if has_no_body || delimited {
            Framing::Delimited
        } else {
            Framing::UntilClose
        }
    }
}

/// Whether the last transfer coding is `chunked`. Any other one lasts until the connection
/// ends.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last = last.and_then(|value| value.to_str().ok());
    let coding = last.and_then(|codings| codings.rsplit(',').next());
    coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Where the content of a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentEnd {
    /// The content does not show where it may end.
    Opaque,
    /// Between two events of a stream.
    BetweenEvents,
    /// Inside an event of a stream.
    InsideEvent,
}

/// Whether a body that has ended without an error of its connection is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completeness {
    /// It is complete.
    Complete,
    /// It was broken off.
    Truncated,
    /// Nothing shows whether it is complete.
    Unknown,
}

impl Completeness {
    /// Decides from framing and content.
    ///
    /// ```
    /// use outlet::{Completeness, ContentEnd, Framing};
    ///
    /// let of = Completeness::of_body;
    /// assert_eq!(of(Framing::Delimited, ContentEnd::Opaque), Completeness::Complete);
    /// assert_eq!(of(Framing::UntilClose, ContentEnd::Opaque), Completeness::Unknown);
    /// assert_eq!(of(Framing::UntilClose, ContentEnd::InsideEvent), Completeness::Truncated);
    /// ```
    #[must_use]
    pub fn of_body(framing: Framing, content: ContentEnd) -> Completeness {
        match (framing, content) {
            (_, ContentEnd::InsideEvent) => Completeness::Truncated,
            (Framing::Delimited, _) => Completeness::Complete,
            (Framing::UntilClose, _) => Completeness::Unknown,
        }
    }
}
