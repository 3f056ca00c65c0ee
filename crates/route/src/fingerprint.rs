//! Identity of a request for the quarantine.

use std::fmt;

use sha2::{Digest, Sha256};

/// Identity of a request across all attempts of its caller: SHA-256 of client
/// account, destination and body.
///
/// ```
/// use route::Fingerprint;
///
/// let fingerprint = Fingerprint::new([0xab; 32]);
/// let text = fingerprint.to_string();
/// assert_eq!(Fingerprint::from_hex(&text), Some(fingerprint));
/// assert_eq!(Fingerprint::from_hex("ab"), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint([u8; Fingerprint::LEN]);

impl Fingerprint {
    /// Length in bytes.
    pub const LEN: usize = 32;

    /// Wraps a digest.
    #[must_use]
    pub const fn new(digest: [u8; Fingerprint::LEN]) -> Self {
        Fingerprint(digest)
    }

    /// Hashes the parts that identify a request. Each is prefixed with its length, so
    /// that different lists of parts never have the same input.
    ///
    /// ```
    /// use route::Fingerprint;
    ///
    /// let whole = Fingerprint::of_parts(&[b"huber", b"/notes/"]);
    /// assert_eq!(whole, Fingerprint::of_parts(&[b"huber", b"/notes/"]));
    /// assert_ne!(whole, Fingerprint::of_parts(&[b"huber/", b"notes/"]));
    /// ```
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Fingerprint(hasher.finalize().into())
    }

    /// Creates a fingerprint from a digest of exactly [`Fingerprint::LEN`] bytes.
    #[must_use]
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Fingerprint)
    }

    /// Parses 64 hexadecimal digits.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 2 * Fingerprint::LEN || !text.is_ascii() {
            return None;
        }
        let mut digest = [0; Fingerprint::LEN];
        for (i, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(text.get(2 * i..2 * i + 2)?, 16).ok()?;
        }
        Some(Fingerprint(digest))
    }

    /// The first eight bytes in hexadecimal, by which log lines tell requests apart.
    ///
    /// ```
    /// let fingerprint = route::Fingerprint::new([0xab; 32]);
    /// assert_eq!(fingerprint.short(), "abababababababab");
    /// ```
    #[must_use]
    pub fn short(&self) -> String {
        let mut text = self.to_string();
        text.truncate(16);
        text
    }

    /// The digest's bytes.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; Fingerprint::LEN] {
        &self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}
