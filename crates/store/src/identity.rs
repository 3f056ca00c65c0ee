//! The identity of a disk.

use crate::{Error, Ops, Result, snapshot};
use serde::{Deserialize, Serialize};
use std::fs;
use std::path::Path;

pub(crate) const IDENTITY_FILE: &str = "identity.json";

/// The identity of a disk: a new one with each format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Random number made by the format; never 0.
    pub disk: u64,
    /// Name of the replica that the disk was formatted for.
    pub name: String,
}

/// Gives a blank folder an identity.
///
/// # Errors
///
/// The folder is formatted already, or can't be written.
///
/// ```
/// use store::Ops;
///
/// let folder = tempfile::tempdir().unwrap();
/// let first = store::format(folder.path(), "control-1", &Ops::default()).unwrap();
/// assert_ne!(first.disk, 0);
/// assert!(store::format(folder.path(), "control-1", &Ops::default()).is_err());
/// ```
pub fn format(folder: &Path, name: &str, ops: &Ops) -> Result<Identity> {
    fs::create_dir_all(folder).map_err(|e| Error::io("creation", folder, e))?;
    match identity(folder) {
        Err(e) if e.is_blank() => {}
        Err(e) => return Err(e),
        Ok(_) => return Err(Error::formatted(folder)),
    }
    if has_log(folder)? {
        // Without its identity file a folder with a log would get a new
        // identity and keep promises that the old one made.
        return Err(Error::damaged(folder, 0, "log without an identity"));
    }
    let identity = Identity {
        disk: rand::random_range(1..=u64::MAX),
        name: name.to_owned(),
    };
    let json = serde_json::to_vec(&identity)
        .map_err(|e| Error::io("encoding", folder, std::io::Error::other(e)))?;
    snapshot::write_atomic(&folder.join(IDENTITY_FILE), &json, ops)?;
    Ok(identity)
}

/// The identity of a formatted folder.
///
/// # Errors
///
/// The folder is blank, can't be read, or holds something else.
///
/// ```
/// let folder = tempfile::tempdir().unwrap();
/// assert!(store::identity(folder.path()).unwrap_err().is_blank());
/// ```
pub fn identity(folder: &Path) -> Result<Identity> {
    let path = folder.join(IDENTITY_FILE);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Err(Error::blank(folder)),
        Err(e) => return Err(Error::io("reading", &path, e)),
    };
    let parsed = serde_json::from_slice(&bytes).ok();
    parsed
        .filter(|id: &Identity| id.disk != 0)
        .ok_or_else(|| Error::damaged(&path, 0, "not an identity"))
}

/// Whether a folder holds anything of a log.
///
/// # Errors
///
/// The folder can't be read.
///
/// ```
/// let folder = tempfile::tempdir().unwrap();
/// assert!(!store::has_log(folder.path()).unwrap());
/// ```
pub fn has_log(folder: &Path) -> Result<bool> {
    Ok(!crate::segment::numbers(folder)?.is_empty() || snapshot::newest(folder)?.is_some())
}
