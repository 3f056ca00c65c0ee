//! From the segments and the snapshot to the log as it stands.

use crate::frame::{Frame, FrameKind};
use crate::{Error, HardState, Record, Result, Snapshot, scan, segment};
use std::collections::BTreeMap;
use std::path::Path;

/// The log as the segments have it.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub(crate) hard_state: HardState,
    pub(crate) records: Vec<Record>,
    /// Index before the first record, once one is known.
    base: Option<u64>,
    /// Highest index that each segment holds.
    pub(crate) highest: BTreeMap<u64, u64>,
    /// Length of the last segment that is whole, and what is torn behind it.
    pub(crate) whole: u64,
    pub(crate) torn: u64,
}

impl Replay {
    /// Reads all segments in order.
    pub(crate) fn run(folder: &Path) -> Result<Replay> {
        let mut replay = Replay::default();
        let numbers = segment::numbers(folder)?;
        for (place, number) in numbers.iter().enumerate() {
            let path = segment::path(folder, *number);
            if place > 0 && numbers[place - 1] + 1 != *number {
                return Err(Error::damaged(&path, 0, "missing segment before"));
            }
            let scan = scan::segment(&path)?;
            let torn = scan.length - scan.whole;
            if torn > 0 && place + 1 < numbers.len() {
                return Err(Error::damaged(&path, scan.whole, "damaged record"));
            }
            replay.highest.insert(*number, 0);
            // Without its first record the segment lacks the hard state.
            replay.whole = if scan.frames.is_empty() {
                0
            } else {
                scan.whole
            };
            replay.torn = torn;
            for frame in scan.frames {
                replay.apply(*number, frame, &path)?;
            }
        }
        Ok(replay)
    }

    fn apply(&mut self, number: u64, frame: Frame, path: &Path) -> Result<()> {
        match frame.kind {
            FrameKind::HardState => {
                let vote = (frame.index != 0).then_some(frame.index);
                let term = frame.term;
                self.hard_state = HardState { term, vote };
            }
            FrameKind::Reset => {
                self.records.clear();
                self.base = Some(frame.index);
            }
            FrameKind::Entry(kind) => {
                let highest = self.highest.entry(number).or_default();
                *highest = frame.index.max(*highest);
                let record = Record {
                    index: frame.index,
                    term: frame.term,
                    kind,
                    data: frame.data,
                };
                return self.put(record, path);
            }
        }
        Ok(())
    }

    /// Puts a record in the place of all of its index and after. It may lie
    /// before all that is left of the log, if the segments before were dropped
    /// and a later one replaces records of theirs.
    fn put(&mut self, record: Record, path: &Path) -> Result<()> {
        let before = record.index.saturating_sub(1);
        let base = self.base.unwrap_or(before).min(before);
        self.base = Some(base);
        let place = usize::try_from(before - base).unwrap_or(usize::MAX);
        let follows = self.records.first().is_none_or(|r| r.index == base + 1);
        if place > 0 && (place > self.records.len() || !follows) {
            return Err(Error::damaged(path, 0, "missing records before an index"));
        }
        self.records.truncate(place);
        self.records.push(record);
        Ok(())
    }

    /// Whether there are records, but not those from the first on.
    pub(crate) fn begins_late(&self) -> bool {
        self.base.is_some_and(|base| base > 0)
    }

    /// Leaves only the records after the snapshot. Returns false if the log
    /// does not reach or contradicts the snapshot, which is the newer one: it
    /// came from a leader, and a crash came before the log was reset.
    pub(crate) fn start_after(&mut self, snapshot: &Snapshot, folder: &Path) -> Result<bool> {
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
        let agrees = at.next().is_some_and(|r| r.term == snapshot.term);
        if agrees {
            self.records.retain(|r| r.index > snapshot.index);
        } else {
            self.records.clear();
        }
        Ok(agrees)
    }
}
