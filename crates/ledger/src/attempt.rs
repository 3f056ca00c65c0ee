//! Identifiers of attempts.

use std::fmt;

/// Random 128-bit identifier of one attempt to run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt(pub u128);

impl Attempt {
    /// Decodes an attempt from 16 bytes in big-endian order; `None` for another
    /// length.
    ///
    /// ```
    /// use ledger::Attempt;
    ///
    /// let attempt = Attempt(42);
    /// assert_eq!(Attempt::from_slice(&attempt.to_bytes()), Some(attempt));
    /// assert_eq!(Attempt::from_slice(b"short"), None);
    /// ```
    #[must_use]
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(u128::from_be_bytes).map(Attempt)
    }

    /// Returns the attempt as 16 bytes in big-endian order.
    ///
    /// ```
    /// assert_eq!(ledger::Attempt(1).to_bytes()[15], 1);
    /// ```
    #[must_use]
    pub fn to_bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
