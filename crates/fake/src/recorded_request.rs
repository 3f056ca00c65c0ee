//! Requests received by a fake.

use bytes::Bytes;

/// One request received by a fake.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers with lower-case names; values that are not text are left out.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Bytes,
}

impl RecordedRequest {
    /// Returns the value of a header; `name` must be in lower case.
    ///
    /// ```
    /// let request = fake::RecordedRequest {
    ///     method: "POST".into(),
    ///     path: "/lots".into(),
    ///     headers: vec![("idempotency-key".into(), "lot-1".into())],
    ///     body: "".into(),
    /// };
    /// assert_eq!(request.header("idempotency-key"), Some("lot-1"));
    /// ```
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let (_, value) = self.headers.iter().find(|(other, _)| other == name)?;
        Some(value)
    }
}
