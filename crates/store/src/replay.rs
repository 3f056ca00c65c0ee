//! Recovery of the log from segments and a snapshot.

use crate::frame::{Frame, FrameKind};
use crate::{Error, HardState, Record, Result, Snapshot, scan, segment};
use std::collections::BTreeMap;
use std::path::Path;

/// Log recovered from the segments.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub(crate) hard_state: HardState,
    pub(crate) records: Vec<Record>,
    /// Index before the first record, once one is known.
    base: Option<u64>,
    /// Highest index in each segment.
    pub(crate) highest_indices: BTreeMap<u64, u64>,
    /// Length of the valid part of the last segment, in bytes.
    pub(crate) valid_len: u64,
    /// Length of a torn write after it, in bytes.
    pub(crate) torn_bytes: u64,
}

impl Replay {
    /// Reads all segments in order.
    pub(crate) fn run(folder: &Path) -> Result<Replay> {
        let mut replay = Replay::default();
        let numbers = segment::numbers(folder)?;
        for (position, number) in numbers.iter().enumerate() {
            let path = segment::path(folder, *number);
            if position > 0 && numbers[position - 1] + 1 != *number {
                return Err(Error::damaged(&path, 0, "missing segment before"));
            }
            let scan = scan::scan_segment(&path)?;
            let torn_bytes = scan.file_len - scan.valid_len;
            if torn_bytes > 0 && position + 1 < numbers.len() {
                return Err(Error::damaged(&path, scan.valid_len, "damaged record"));
            }
            replay.highest_indices.insert(*number, 0);
            // Without its first record the segment holds no hard state and is
            // not used.
            replay.valid_len = if scan.frames.is_empty() {
                0
            } else {
                scan.valid_len
            };
            replay.torn_bytes = torn_bytes;
            for frame in scan.frames {
                replay.apply(*number, frame, &path)?;
            }
        }
        Ok(replay)
    }

    fn apply(&mut self, number: u64, frame: Frame, path: &Path) -> Result<()> {
        match frame.kind {
            FrameKind::HardState => {
                self.hard_state = hard_state(&frame);
            }
            FrameKind::Reset => {
                self.records.clear();
                self.base = Some(frame.index);
            }
            FrameKind::Entry(kind) => {
                let highest = self.highest_indices.entry(number).or_default();
                *highest = frame.index.max(*highest);
                let record = Record {
                    index: frame.index,
                    term: frame.term,
                    kind,
                    data: frame.data,
                };
                return self.insert(record, path);
            }
        }
        Ok(())
    }

    /// Inserts a record, replacing all records at the same and higher indices.
    /// Its index may be before the rest of the log if earlier segments were
    /// removed and a later segment replaces records of theirs.
    fn insert(&mut self, record: Record, path: &Path) -> Result<()> {
        let before = record.index.saturating_sub(1);
        let base = self.base.unwrap_or(before).min(before);
        self.base = Some(base);
        let position = usize::try_from(before - base).unwrap_or(usize::MAX);
        let contiguous = self.records.first().is_none_or(|r| r.index == base + 1);
        if position > 0 && (position > self.records.len() || !contiguous) {
            return Err(Error::damaged(path, 0, "missing records before an index"));
        }
        self.records.truncate(position);
        self.records.push(record);
        Ok(())
    }

    /// Returns whether the log is known to start after index 1.
    pub(crate) fn starts_after_first_index(&self) -> bool {
        self.base.is_some_and(|base| base > 0)
    }

    /// Removes the records that the snapshot covers. Returns false if the log
    /// does not reach or contradicts the snapshot. In that case the snapshot is
    /// newer: it was received from a leader, and a crash occurred before the
    /// log was reset.
    pub(crate) fn skip_covered(&mut self, snapshot: &Snapshot, folder: &Path) -> Result<bool> {
        let Some(base) = self.base else {
            return Ok(true);
        };
        if base > snapshot.index {
            return Err(Error::damaged(folder, 0, "gap between snapshot and log"));
        }
        if base == snapshot.index {
            return Ok(true);
        }
        let mut at = self.records.iter().filter(|r| r.index == snapshot.index);
        let matches = at.next().is_some_and(|r| r.term == snapshot.term);
        if matches {
            self.records.retain(|r| r.index > snapshot.index);
        } else {
            self.records.clear();
        }
        Ok(matches)
    }
}

fn hard_state(frame: &Frame) -> HardState {
    // Earlier versions store no commit index.
    let commit = frame.data[..].try_into().map_or(0, u64::from_le_bytes);
    HardState {
        term: frame.term,
        vote: (frame.index != 0).then_some(frame.index),
        commit,
    }
}
