//! Digest of what a call asks for.

/// SHA-256 of method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Reads a digest from its 32 bytes.
    ///
    /// ```
    /// use ledger::Digest;
    ///
    /// assert_eq!(Digest::from_slice(&[3; 32]), Some(Digest([3; 32])));
    /// assert_eq!(Digest::from_slice(&[3; 31]), None);
    /// ```
    #[must_use]
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Digest)
    }
}
