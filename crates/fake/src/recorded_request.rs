//! What reached a stand-in.

use bytes::Bytes;

/// One request that reached a stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedRequest {
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Header names in lower case, and values, as far as they are text.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl RecordedRequest {
    /// The value of a header, by its name in lower case.
    ///
    /// ```
    /// let seen = fake::RecordedRequest {
    ///     method: "POST".into(),
    ///     path: "/lots".into(),
    ///     headers: vec![("idempotency-key".into(), "lot-1".into())],
    ///     body: "".into(),
    /// };
    /// assert_eq!(seen.header("idempotency-key"), Some("lot-1"));
    /// ```
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let (_, value) = self.headers.iter().find(|(given, _)| given == name)?;
        Some(value)
    }
}
