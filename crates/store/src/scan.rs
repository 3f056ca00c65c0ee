//! Reading of segments.

use crate::frame::{Frame, MAGIC};
use crate::{Error, Result};
use bytes::Bytes;
use std::fs;
use std::path::Path;

/// Contents of a segment file.
#[derive(Debug)]
pub(crate) struct Scan {
    pub(crate) frames: Vec<Frame>,
    /// Length of the valid part, in bytes.
    pub(crate) valid_len: u64,
    /// Length of the file, in bytes.
    pub(crate) file_len: u64,
}

/// Reads a segment up to its end or to a torn write.
///
/// An invalid record that had been synced is damage. The records after it may
/// have been acknowledged, so the log must not be truncated there. The error
/// names the offset, so that an operator can replace the disk.
pub(crate) fn scan_segment(path: &Path) -> Result<Scan> {
    let bytes = fs::read(path).map_err(|e| Error::io("reading", path, e))?;
    let bytes = Bytes::from(bytes);
    let file_len = bytes.len() as u64;
    let mut frames = Vec::new();
    let mut at = 0;
    if bytes.starts_with(MAGIC) {
        at = MAGIC.len();
        while let Some((frame, len)) = Frame::decode(&bytes.slice(at..)) {
            frames.push(frame);
            at += len;
        }
    }
    if let Some(offset) = find_synced_damage(&bytes, at) {
        return Err(Error::damaged(path, offset, "damaged record"));
    }
    Ok(Scan {
        frames,
        valid_len: at as u64,
        file_len,
    })
}

/// Searches after an invalid record for a record that was written after it had
/// been synced, and returns the offset of the damage.
fn find_synced_damage(bytes: &Bytes, invalid: usize) -> Option<u64> {
    let offset = invalid as u64;
    for at in invalid + 1..bytes.len() {
        let synced = Frame::peek_synced(&bytes[at..]).unwrap_or(0);
        let plausible = synced > offset && synced <= at as u64;
        if plausible && Frame::decode(&bytes.slice(at..)).is_some() {
            return Some(offset);
        }
    }
    None
}
