//! SHA-256 digests.

use std::fmt;

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

/// A SHA-256 digest, displayed and parsed as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Digest([u8; Digest::BYTES]);

impl Digest {
    /// The length of a digest in bytes.
    pub const BYTES: usize = 32;

    /// Computes the digest of `bytes`.
    ///
    /// ```
    /// let digest = note::Digest::of(b"demo");
    /// assert_eq!(&digest.to_string()[..8], "2a97516c");
    /// ```
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Digest(Sha256::digest(bytes).into())
    }

    /// Parses 64 hexadecimal digits; returns `None` for any other text.
    ///
    /// ```
    /// let digest = note::Digest::of(b"demo");
    /// assert_eq!(note::Digest::from_hex(&digest.to_string()), Some(digest));
    /// assert_eq!(note::Digest::from_hex("2a97"), None);
    /// ```
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        let digits = text.as_bytes();
        if digits.len() != 2 * Digest::BYTES {
            return None;
        }
        let mut bytes = [0; Digest::BYTES];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = hex_value(pair[0])? << 4 | hex_value(pair[1])?;
        }
        Some(Digest(bytes))
    }

    /// Returns the digest's bytes.
    ///
    /// ```
    /// assert_eq!(note::Digest::of(b"").as_bytes().len(), note::Digest::BYTES);
    /// ```
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; Digest::BYTES] {
        &self.0
    }

    /// Compares two digests in constant time.
    pub(crate) fn ct_eq(&self, other: &Digest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

fn hex_value(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
