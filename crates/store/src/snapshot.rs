//! Snapshot files, written atomically.

use crate::ops::list_folder;
use crate::{Error, Ops, Result};
use bytes::{Buf, BufMut, Bytes};
use std::fs;
use std::path::{Path, PathBuf};

const SUFFIX: &str = ".snapshot";
const TEMP_EXTENSION: &str = "tmp";
const MAGIC: &[u8; 8] = b"lovsnp01";
const HEADER_LEN: usize = 8 + 4 + 8 + 8;

/// A snapshot of the state up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last record that it covers.
    pub index: u64,
    /// Term of that record.
    pub term: u64,
    /// Encoded state.
    pub data: Bytes,
}

impl Snapshot {
    fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(HEADER_LEN + self.data.len());
        buf.put_slice(MAGIC);
        buf.put_u32_le(0);
        buf.put_u64_le(self.index);
        buf.put_u64_le(self.term);
        buf.put_slice(&self.data);
        let crc = crc32c::crc32c(&buf[12..]);
        buf[8..12].copy_from_slice(&crc.to_le_bytes());
        buf
    }

    fn decode(bytes: &Bytes) -> Option<Snapshot> {
        let mut head = bytes.get(..HEADER_LEN)?.strip_prefix(MAGIC)?;
        let crc = head.get_u32_le();
        if crc32c::crc32c(&bytes[12..]) != crc {
            return None;
        }
        Some(Snapshot {
            index: head.get_u64_le(),
            term: head.get_u64_le(),
            data: bytes.slice(HEADER_LEN..),
        })
    }
}

/// Writes a file atomically: a temporary file is written, synced and renamed,
/// and then the folder is synced.
///
/// # Errors
///
/// Fails if the file cannot be written. Before the rename, an existing file is
/// left unchanged.
///
/// ```
/// let folder = tempfile::tempdir().unwrap();
/// let path = folder.path().join("targets.cache");
/// store::write_atomic(&path, b"whole", &store::Ops::default()).unwrap();
/// assert_eq!(std::fs::read(path).unwrap(), b"whole");
/// ```
pub fn write_atomic(path: &Path, bytes: &[u8], ops: &Ops) -> Result<()> {
    let temp_path = path.with_extension(TEMP_EXTENSION);
    let written = write_temp_file(&temp_path, bytes, ops);
    if let Err(e) = written {
        // On a full disk a partial file would take space that the log needs. A
        // file that cannot be removed is harmless.
        let _ = (ops.remove)(&temp_path);
        return Err(e);
    }
    (ops.rename)(&temp_path, path).map_err(|e| Error::io("renaming", path, e))?;
    let folder = path.parent().unwrap_or(Path::new("."));
    (ops.sync_folder)(folder).map_err(|e| Error::sync(folder, e))
}

fn write_temp_file(path: &Path, bytes: &[u8], ops: &Ops) -> Result<()> {
    let mut file = (ops.create)(path).map_err(|e| Error::io("creation", path, e))?;
    (ops.write)(path, &mut file, bytes).map_err(|e| Error::io("writing", path, e))?;
    (ops.sync)(path, &file).map_err(|e| Error::io("sync", path, e))
}

pub(crate) fn save(folder: &Path, snapshot: &Snapshot, ops: &Ops) -> Result<()> {
    write_atomic(&path(folder, snapshot.index), &snapshot.encode(), ops)
}

/// Reads the latest snapshot. An invalid snapshot is damage, because the log
/// before it may have been removed already.
pub(crate) fn latest(folder: &Path) -> Result<Option<Snapshot>> {
    let Some(index) = snapshot_indices(folder)?.pop() else {
        return Ok(None);
    };
    let path = path(folder, index);
    let bytes = fs::read(&path).map_err(|e| Error::io("reading", &path, e))?;
    let snapshot = Snapshot::decode(&Bytes::from(bytes)).filter(|s| s.index == index);
    let damaged = || Error::damaged(&path, 0, "damaged snapshot");
    snapshot.map(Some).ok_or_else(damaged)
}

/// Removes all snapshots but the latest, and temporary files left by a crash.
pub(crate) fn remove_obsolete(folder: &Path, ops: &Ops) -> Result<()> {
    let mut old = snapshot_indices(folder)?;
    old.pop();
    for index in old {
        let path = path(folder, index);
        (ops.remove)(&path).map_err(|e| Error::io("removal", &path, e))?;
    }
    for index in indices_with_suffix(folder, &format!(".{TEMP_EXTENSION}"))? {
        let path = path(folder, index).with_extension(TEMP_EXTENSION);
        (ops.remove)(&path).map_err(|e| Error::io("removal", &path, e))?;
    }
    Ok(())
}

fn path(folder: &Path, index: u64) -> PathBuf {
    folder.join(format!("{index:020}{SUFFIX}"))
}

fn snapshot_indices(folder: &Path) -> Result<Vec<u64>> {
    indices_with_suffix(folder, SUFFIX)
}

fn indices_with_suffix(folder: &Path, suffix: &str) -> Result<Vec<u64>> {
    let entries = list_folder(folder).map_err(|e| Error::io("listing", folder, e))?;
    let mut indices = Vec::new();
    for entry in entries {
        let entry = entry.map_err(|e| Error::io("listing", folder, e))?;
        let name = entry.file_name();
        let index = name.to_str().and_then(|n| n.strip_suffix(suffix));
        indices.extend(index.and_then(|i| i.parse::<u64>().ok()));
    }
    indices.sort_unstable();
    Ok(indices)
}
