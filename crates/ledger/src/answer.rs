//! Stored answers.

use bytes::Bytes;

/// Complete answer of a target, returned to each caller that resends the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values, in the order sent by the target.
    pub headers: Vec<(String, Bytes)>,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the size of the answer in the ledger, in bytes.
    ///
    /// ```
    /// let answer = ledger::Answer { status: 200, headers: Vec::new(), body: "lot".into() };
    /// assert_eq!(answer.size(), 3);
    /// ```
    #[must_use]
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        headers + self.body.len()
    }
}
