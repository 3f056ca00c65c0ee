//! Reading a segment.

use crate::frame::{Frame, MAGIC};
use crate::{Error, Result};
use bytes::Bytes;
use std::fs;
use std::path::Path;

/// What a segment holds.
#[derive(Debug)]
pub(crate) struct Scan {
    pub(crate) frames: Vec<Frame>,
    /// Length up to which it is whole.
    pub(crate) whole: u64,
    /// Length of the file.
    pub(crate) length: u64,
}

/// Reads a segment up to its end, or to what a crash has torn.
///
/// A record that is not whole and was synced is damage: what comes after it
/// was acknowledged too, and a log that leaves it out would contradict what
/// this replica has promised. It is refused with its place, so that an
/// operator replaces the disk.
pub(crate) fn segment(path: &Path) -> Result<Scan> {
    let bytes = fs::read(path).map_err(|e| Error::io("reading", path, e))?;
    let bytes = Bytes::from(bytes);
    let length = bytes.len() as u64;
    let mut frames = Vec::new();
    let mut at = 0;
    if bytes.starts_with(MAGIC) {
        at = MAGIC.len();
        while let Some((frame, len)) = Frame::decode(&bytes.slice(at..)) {
            frames.push(frame);
            at += len;
        }
    }
    if let Some(later) = synced_after(&bytes, at) {
        return Err(Error::damaged(path, later, "damaged record"));
    }
    Ok(Scan {
        frames,
        whole: at as u64,
        length,
    })
}

/// Looks behind a record that is not whole for one that was written after it
/// had been synced; gives the place of the damage.
fn synced_after(bytes: &Bytes, bad: usize) -> Option<u64> {
    let place = bad as u64;
    for at in bad + 1..bytes.len() {
        let claimed = Frame::claimed_synced(&bytes[at..]).unwrap_or(0);
        let plausible = claimed > place && claimed <= at as u64;
        if plausible && Frame::decode(&bytes.slice(at..)).is_some() {
            return Some(place);
        }
    }
    None
}
