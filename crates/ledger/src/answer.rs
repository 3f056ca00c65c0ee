//! The stored answer of a call.

use bytes::Bytes;

/// A target's whole answer, given again to each caller that resends the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Header names and values, in the order of the target.
    pub headers: Vec<(String, Bytes)>,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Bytes that the answer takes in the ledger.
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
