//! The secret shared by all processes of a deployment.

use crate::error::{Error, Result};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::path::Path;
use std::{fmt, fs, io};

/// Minimum length of a key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// The shared key that authenticates links.
#[derive(Clone)]
pub struct ClusterKey {
    secret: Vec<u8>,
}

impl ClusterKey {
    /// Creates a key from bytes.
    ///
    /// # Errors
    ///
    /// Returns an error for fewer than 16 bytes.
    ///
    /// ```
    /// assert!(wire::ClusterKey::from_bytes(b"short").is_err());
    /// assert!(wire::ClusterKey::from_bytes(b"0123456789abcdef").is_ok());
    /// ```
    pub fn from_bytes(secret: &[u8]) -> Result<Self> {
        if secret.len() < MIN_KEY_BYTES {
            let reason = format!("cluster key is shorter than {MIN_KEY_BYTES} bytes");
            return Err(Error::Protocol(reason));
        }
        Ok(ClusterKey {
            secret: secret.to_vec(),
        })
    }

    /// Reads a key from a file, trimming white space at both ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or contains fewer than 16 bytes.
    pub fn from_file(path: &Path) -> Result<Self> {
        let text = fs::read(path).map_err(|err| with_path(path, &err))?;
        Self::from_bytes(text.trim_ascii())
    }

    pub(crate) fn sign(&self, parts: &[&[u8]]) -> Result<Vec<u8>> {
        Ok(self.mac(parts)?.finalize().into_bytes().to_vec())
    }

    /// Verifies a proof in constant time, so that the response time does not reveal how much
    /// of a forged proof is correct.
    pub(crate) fn verify(&self, parts: &[&[u8]], proof: &[u8]) -> Result<()> {
        self.mac(parts)?
            .verify_slice(proof)
            .map_err(|_| Error::WrongKey)
    }

    fn mac(&self, parts: &[&[u8]]) -> Result<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret)
            .map_err(|err| Error::Protocol(err.to_string()))?;
        for part in parts {
            mac.update(part);
        }
        Ok(mac)
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

fn with_path(path: &Path, err: &io::Error) -> io::Error {
    io::Error::new(err.kind(), format!("{}: {err}", path.display()))
}
