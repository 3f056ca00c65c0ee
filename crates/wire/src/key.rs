//! The secret that all processes of one deployment share.

use crate::error::{Error, Result};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::path::Path;
use std::{fmt, fs, io};

/// Bytes of the shortest key that is accepted.
const SHORTEST: usize = 16;

/// The shared key that links are authenticated with.
#[derive(Clone)]
pub struct ClusterKey {
    secret: Vec<u8>,
}

impl ClusterKey {
    /// Takes the key from bytes.
    ///
    /// # Errors
    ///
    /// Fails for fewer than 16 bytes.
    ///
    /// ```
    /// assert!(wire::ClusterKey::from_bytes(b"short").is_err());
    /// assert!(wire::ClusterKey::from_bytes(b"0123456789abcdef").is_ok());
    /// ```
    pub fn from_bytes(secret: &[u8]) -> Result<Self> {
        if secret.len() < SHORTEST {
            let reason = format!("cluster key is shorter than {SHORTEST} bytes");
            return Err(Error::Protocol(reason));
        }
        Ok(ClusterKey {
            secret: secret.to_vec(),
        })
    }

    /// Reads the key from a file; white space at its ends does not count.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or holds fewer than 16 bytes.
    pub fn from_file(path: &Path) -> Result<Self> {
        let text = fs::read(path).map_err(|err| named(path, &err))?;
        Self::from_bytes(text.trim_ascii())
    }

    pub(crate) fn sign(&self, parts: &[&[u8]]) -> Result<Vec<u8>> {
        Ok(self.mac(parts)?.finalize().into_bytes().to_vec())
    }

    /// Compares in constant time, so that the time an attempt takes tells nothing
    /// about how much of a forged proof was right.
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

fn named(path: &Path, err: &io::Error) -> io::Error {
    io::Error::new(err.kind(), format!("{}: {err}", path.display()))
}
