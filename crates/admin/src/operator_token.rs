//! The operators' bearer token.

use std::path::Path;

use eyre::{WrapErr, ensure};
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Minimum length of a token, in bytes; shorter tokens could be guessed.
const MIN_TOKEN_BYTES: usize = 16;

/// The operators' bearer token, stored as a SHA-256 digest only.
#[derive(Clone)]
pub struct OperatorToken([u8; 32]);

impl OperatorToken {
    /// Creates a token from bytes, trimming white space at both ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the token is shorter than 16 bytes.
    ///
    /// ```
    /// assert!(admin::OperatorToken::from_bytes(b"short").is_err());
    /// assert!(admin::OperatorToken::from_bytes(b"0123456789abcdef\n").is_ok());
    /// ```
    pub fn from_bytes(token: &[u8]) -> eyre::Result<Self> {
        let token = token.trim_ascii();
        ensure!(
            token.len() >= MIN_TOKEN_BYTES,
            "the operators' token is shorter than {MIN_TOKEN_BYTES} bytes"
        );
        Ok(OperatorToken(Sha256::digest(token).into()))
    }

    /// Reads the token from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or the token is shorter than 16 bytes.
    ///
    /// ```
    /// assert!(admin::OperatorToken::from_file("no/such/file").is_err());
    /// ```
    pub fn from_file(path: impl AsRef<Path>) -> eyre::Result<Self> {
        let path = path.as_ref();
        let token = std::fs::read(path)
            .wrap_err_with(|| format!("can't read the operators' token {}", path.display()))?;
        OperatorToken::from_bytes(&token).wrap_err_with(|| format!("in {}", path.display()))
    }

    /// Returns whether a request carries the token. Compares in constant time.
    ///
    /// ```
    /// let token = admin::OperatorToken::from_bytes(b"0123456789abcdef").unwrap();
    /// let mut headers = hyper::HeaderMap::new();
    /// assert!(!token.authorizes(&headers));
    /// headers.insert("authorization", "Bearer 0123456789abcdef".parse().unwrap());
    /// assert!(token.authorizes(&headers));
    /// ```
    #[must_use]
    pub fn authorizes(&self, headers: &HeaderMap) -> bool {
        let Some(credentials) = bearer_credentials(headers) else {
            return false;
        };
        let digest: [u8; 32] = Sha256::digest(credentials).into();
        digest.ct_eq(&self.0).into()
    }
}

/// Returns the credentials of the Bearer scheme (RFC 6750, section 2.1).
fn bearer_credentials(headers: &HeaderMap) -> Option<&[u8]> {
    const SCHEME: &[u8] = b"bearer ";
    let value = headers.get(AUTHORIZATION)?.as_bytes();
    let (scheme, credentials) = value.split_at_checked(SCHEME.len())?;
    scheme
        .eq_ignore_ascii_case(SCHEME)
        .then(|| credentials.trim_ascii())
}
