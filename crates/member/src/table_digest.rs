//! Digests of route tables.

use sha2::{Digest as _, Sha256};
use std::fmt;

/// The first 64 bits of the SHA-256 of a route table's source, shown in hexadecimal. Tables
/// of one number with different digests have different content.
///
/// ```
/// use member::TableDigest;
///
/// let digest = TableDigest::of(b"abc");
/// assert_eq!(digest.to_string(), "ba7816bf8f01cfea");
/// assert_ne!(digest, TableDigest::of(b"abd"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableDigest(pub u64);

impl TableDigest {
    /// Returns the digest of a table's source.
    ///
    /// ```
    /// # use member::TableDigest;
    /// assert_eq!(TableDigest::of(b"a table"), TableDigest::of(b"a table"));
    /// ```
    #[must_use]
    pub fn of(source: &[u8]) -> TableDigest {
        let hash: [u8; 32] = Sha256::digest(source).into();
        let head = hash.first_chunk().copied().unwrap_or_default();
        TableDigest(u64::from_be_bytes(head))
    }
}

impl fmt::Display for TableDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
