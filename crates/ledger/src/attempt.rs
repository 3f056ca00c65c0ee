//! Identity of an attempt.

use std::fmt;

/// Random 128 bits that name one attempt at running a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt(pub u128);

impl Attempt {
    /// Reads an attempt from its 16 bytes, most significant first.
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

    /// The 16 bytes of the attempt, most significant first.
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
