//! Request digests.

/// SHA-256 digest of the method, path and body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Creates a digest from 32 bytes; `None` for another length.
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
