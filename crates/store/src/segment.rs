//! The segment being written.

use crate::frame::{Frame, FrameKind, MAGIC};
use crate::ops::list_folder;
use crate::{Error, HardState, Ops, Result};
use bytes::Bytes;
use std::fs::{File, OpenOptions};
use std::io::{Seek, SeekFrom};
use std::path::{Path, PathBuf};

const SUFFIX: &str = ".log";

/// The segment being written.
#[derive(Debug)]
pub(crate) struct Segment {
    pub(crate) number: u64,
    path: PathBuf,
    file: File,
    /// Length of the written data, in bytes.
    written_len: u64,
    /// Length of the synced data, in bytes.
    synced_len: u64,
}

impl Segment {
    /// Creates a segment that starts with the hard state, so that no earlier
    /// segment is needed for it, and optionally with a reset. The segment is
    /// durable on return.
    pub(crate) fn create(
        folder: &Path,
        number: u64,
        hard_state: HardState,
        reset: Option<(u64, u64)>,
        ops: &Ops,
    ) -> Result<Segment> {
        let path = path(folder, number);
        let file = (ops.create)(&path).map_err(|e| Error::io("creation", &path, e))?;
        let mut segment = Segment {
            number,
            path,
            file,
            written_len: 0,
            synced_len: 0,
        };
        let mut buf = MAGIC.to_vec();
        segment.hard_state_frame(hard_state).encode(&mut buf);
        if let Some((index, term)) = reset {
            let kind = FrameKind::Reset;
            segment
                .frame(kind, index, term, Bytes::new())
                .encode(&mut buf);
        }
        segment.write(&buf, ops)?;
        segment.sync(ops)?;
        (ops.sync_folder)(folder).map_err(|e| Error::sync(folder, e))?;
        Ok(segment)
    }

    /// Opens the last segment after a start and truncates it to its valid part.
    ///
    /// The data may have been written but never synced, so it is synced before
    /// anything depends on it.
    pub(crate) fn open(folder: &Path, number: u64, valid_len: u64, ops: &Ops) -> Result<Segment> {
        let path = path(folder, number);
        let mut open = OpenOptions::new();
        let opened = open.read(true).write(true).open(&path);
        let mut file = opened.map_err(|e| Error::io("opening", &path, e))?;
        let truncated = (ops.truncate)(&path, &file, valid_len);
        truncated.map_err(|e| Error::io("truncation", &path, e))?;
        let sought = file.seek(SeekFrom::Start(valid_len));
        sought.map_err(|e| Error::io("seeking", &path, e))?;
        let mut segment = Segment {
            number,
            path,
            file,
            written_len: valid_len,
            synced_len: 0,
        };
        segment.sync(ops)?;
        Ok(segment)
    }

    pub(crate) fn frame(&self, kind: FrameKind, index: u64, term: u64, data: Bytes) -> Frame {
        Frame {
            synced_len: self.synced_len,
            kind,
            index,
            term,
            data,
        }
    }

    pub(crate) fn hard_state_frame(&self, hard_state: HardState) -> Frame {
        let vote = hard_state.vote.unwrap_or(0);
        let commit = Bytes::copy_from_slice(&hard_state.commit.to_le_bytes());
        self.frame(FrameKind::HardState, vote, hard_state.term, commit)
    }

    /// Writes the bytes. If that fails, the segment is left as before.
    pub(crate) fn write(&mut self, bytes: &[u8], ops: &Ops) -> Result<()> {
        let Err(e) = (ops.write)(&self.path, &mut self.file, bytes) else {
            self.written_len += bytes.len() as u64;
            return Ok(());
        };
        let error = Error::io("writing", &self.path, e);
        // A part may have been written. A later record after it would be lost
        // at the next start.
        let truncated = (ops.truncate)(&self.path, &self.file, self.written_len)
            .and_then(|()| self.file.seek(SeekFrom::Start(self.written_len)));
        match truncated {
            Ok(_) => Err(error),
            Err(e) => Err(Error::io("truncation", &self.path, e)),
        }
    }

    pub(crate) fn sync(&mut self, ops: &Ops) -> Result<()> {
        (ops.sync)(&self.path, &self.file).map_err(|e| Error::sync(&self.path, e))?;
        self.synced_len = self.written_len;
        Ok(())
    }

    pub(crate) fn length(&self) -> u64 {
        self.written_len
    }

    pub(crate) fn has_unsynced(&self) -> bool {
        self.synced_len < self.written_len
    }
}

pub(crate) fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:016}{SUFFIX}"))
}

/// Returns the numbers of the segments in a folder in ascending order.
pub(crate) fn numbers(folder: &Path) -> Result<Vec<u64>> {
    let entries = list_folder(folder).map_err(|e| Error::io("listing", folder, e))?;
    let mut numbers = Vec::new();
    for entry in entries {
        let entry = entry.map_err(|e| Error::io("listing", folder, e))?;
        let name = entry.file_name();
        let number = name.to_str().and_then(|n| n.strip_suffix(SUFFIX));
        numbers.extend(number.and_then(|n| n.parse::<u64>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}
