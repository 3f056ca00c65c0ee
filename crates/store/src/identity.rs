//! Identity of a disk.

use crate::{Error, Ops, Result, snapshot};
use serde::{Deserialize, Serialize};
use std::fs;
use std::path::Path;

pub(crate) const IDENTITY_FILE: &str = "identity.json";

/// Identity of a disk, created when its folder is formatted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Random number chosen when the disk was formatted; never 0.
    pub disk: u64,
    /// Name of the replica for which the disk was formatted.
    pub name: String,
}

/// Formats a blank folder by giving it an identity.
///
/// # Errors
///
/// Fails if the folder is already formatted, holds a log or cannot be written.
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
    format_as(folder, name, rand::random_range(1..=u64::MAX), ops)
}

/// Formats a blank folder and gives it the identity `disk`, which must never be given
/// to another folder.
///
/// # Errors
///
/// See [`format`].
///
/// ```
/// use store::Ops;
///
/// let folder = tempfile::tempdir().unwrap();
/// let formatted = store::format_as(folder.path(), "control-1", 7, &Ops::default()).unwrap();
/// assert_eq!(formatted.disk, 7);
/// ```
pub fn format_as(folder: &Path, name: &str, disk: u64, ops: &Ops) -> Result<Identity> {
    fs::create_dir_all(folder).map_err(|e| Error::io("creation", folder, e))?;
    match identity(folder) {
        Err(e) if e.is_blank() => {}
        Err(e) => return Err(e),
        Ok(_) => return Err(Error::formatted(folder)),
    }
    if has_log(folder)? {
        // The identity file of a log is missing. A new identity must not take
        // over the votes and entries of the old one.
        return Err(Error::damaged(folder, 0, "log without an identity"));
    }
    let identity = Identity {
        disk,
        name: name.to_owned(),
    };
    let json = serde_json::to_vec(&identity)
        .map_err(|e| Error::io("encoding", folder, std::io::Error::other(e)))?;
    snapshot::write_atomic(&folder.join(IDENTITY_FILE), &json, ops)?;
    Ok(identity)
}

/// Reads the identity of a formatted folder.
///
/// # Errors
///
/// Fails if the folder is blank, cannot be read or holds an invalid identity.
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

/// Returns whether a folder holds log segments or a snapshot.
///
/// # Errors
///
/// Fails if the folder cannot be read or its latest snapshot is damaged.
///
/// ```
/// let folder = tempfile::tempdir().unwrap();
/// assert!(!store::has_log(folder.path()).unwrap());
/// ```
pub fn has_log(folder: &Path) -> Result<bool> {
    Ok(!crate::segment::numbers(folder)?.is_empty() || snapshot::latest(folder)?.is_some())
}
