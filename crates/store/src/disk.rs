//! Formatted data folders.

use crate::frame::FrameKind;
use crate::replay::Replay;
use crate::segment::{self, Segment};
use crate::{
    Batch, Error, HardState, Ops, Record, Recovered, Result, Snapshot, snapshot, sync_failure,
};
use std::collections::BTreeMap;
use std::fs::{File, TryLockError};
use std::path::{Path, PathBuf};

const LOCK_FILE: &str = "lock";
/// Default length in bytes after which a new segment is started.
const SEGMENT_BYTES: u64 = 16 << 20;

/// A formatted data folder, open for writing.
///
/// After a failed sync nothing more is written. The operating system may have
/// dropped the data that it could not write, and a second sync would report
/// success for data that is not on the disk.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    ops: Ops,
    segment: Segment,
    hard_state: HardState,
    segment_bytes: u64,
    /// Highest index in each segment.
    highest_indices: BTreeMap<u64, u64>,
    stopped: bool,
    /// Held to prevent a second process from writing to the folder.
    _lock: File,
}

impl Disk {
    /// Opens a formatted folder. See the crate documentation for a complete
    /// example.
    ///
    /// # Errors
    ///
    /// Fails if the folder is blank, in use by another process, damaged, marked
    /// because a sync failed in it, or cannot be read or written.
    ///
    /// ```
    /// # use store::{Batch, Disk, Ops, Snapshot};
    /// # let folder = tempfile::tempdir().unwrap();
    /// # store::format(folder.path(), "control-1", &Ops::default()).unwrap();
    /// let (mut disk, _) = Disk::open(folder.path(), Ops::default()).unwrap();
    /// disk.sync().unwrap();
    /// ```
    pub fn open(folder: &Path, ops: Ops) -> Result<(Disk, Recovered)> {
        let marker_ops = ops.clone();
        let opened = Disk::open_folder(folder, ops);
        if let Err(e) = &opened {
            sync_failure::mark(folder, e, &marker_ops);
        }
        opened
    }

    fn open_folder(folder: &Path, ops: Ops) -> Result<(Disk, Recovered)> {
        let identity = crate::identity(folder)?;
        let lock = lock(folder)?;
        sync_failure::check(folder)?;
        // An earlier process may have been killed between a rename and its
        // sync. A power failure must not undo what is read below.
        let synced = (ops.sync_folder)(folder);
        synced.map_err(|e| Error::sync(folder, e))?;
        let snapshot = snapshot::latest(folder)?;
        let mut replay = Replay::run(folder)?;
        let log_continues = match &snapshot {
            Some(snapshot) => replay.skip_covered(snapshot, folder)?,
            None => true,
        };
        if snapshot.is_none() && replay.starts_after_first_index() {
            return Err(Error::damaged(folder, 0, "log without its beginning"));
        }
        let newer_snapshot = snapshot.as_ref().filter(|_| !log_continues);
        let reset = newer_snapshot.map(|s| (s.index, s.term));
        let segment = open_last_segment(folder, &replay, reset, &ops)?;
        replay.highest_indices.insert(segment.number, 0);
        let mut disk = Disk {
            folder: folder.to_owned(),
            ops,
            segment,
            hard_state: replay.hard_state,
            segment_bytes: SEGMENT_BYTES,
            highest_indices: replay.highest_indices,
            stopped: false,
            _lock: lock,
        };
        disk.record_highest_index(&replay.records);
        snapshot::remove_obsolete(folder, &disk.ops)?;
        let recovered = Recovered {
            identity,
            hard_state: replay.hard_state,
            snapshot,
            records: replay.records,
            truncated_bytes: replay.torn_bytes,
        };
        Ok((disk, recovered))
    }

    /// Sets the length in bytes after which a new segment is started.
    ///
    /// ```
    /// # let folder = tempfile::tempdir().unwrap();
    /// # store::format(folder.path(), "control-1", &store::Ops::default()).unwrap();
    /// let (mut disk, _) = store::Disk::open(folder.path(), store::Ops::default()).unwrap();
    /// disk.set_segment_bytes(1 << 20);
    /// ```
    pub fn set_segment_bytes(&mut self, bytes: u64) {
        self.segment_bytes = bytes;
    }

    /// Writes a batch. It is durable after the next [`Disk::sync`]; the
    /// snapshot of a batch is durable on return.
    ///
    /// # Errors
    ///
    /// If the disk is full, nothing was written and the write can be retried.
    /// Any other error stops the disk.
    ///
    /// ```
    /// # use store::{Batch, Disk, Ops, Snapshot};
    /// # let folder = tempfile::tempdir().unwrap();
    /// # store::format(folder.path(), "control-1", &Ops::default()).unwrap();
    /// let (mut disk, _) = Disk::open(folder.path(), Ops::default()).unwrap();
    /// disk.write(&Batch::default()).unwrap();
    /// disk.sync().unwrap();
    /// ```
    pub fn write(&mut self, batch: &Batch) -> Result<()> {
        self.ensure_writable()?;
        let done = self.write_batch(batch);
        self.stop_on_error(done)
    }

    /// Makes all written data durable.
    ///
    /// # Errors
    ///
    /// Any error stops the disk.
    ///
    /// ```
    /// # use store::{Batch, Disk, Ops, Snapshot};
    /// # let folder = tempfile::tempdir().unwrap();
    /// # store::format(folder.path(), "control-1", &Ops::default()).unwrap();
    /// let (mut disk, _) = Disk::open(folder.path(), Ops::default()).unwrap();
    /// disk.sync().unwrap();
    /// ```
    pub fn sync(&mut self) -> Result<()> {
        self.ensure_writable()?;
        if !self.segment.has_unsynced() {
            return Ok(());
        }
        let done = self.segment.sync(&self.ops);
        self.stop_on_error(done)
    }

    /// Saves a snapshot of the state and removes the log segments that it
    /// covers.
    ///
    /// # Errors
    ///
    /// If the disk is full, the log is unchanged. Any other error stops the
    /// disk.
    ///
    /// ```
    /// # use store::{Batch, Disk, Ops, Snapshot};
    /// # let folder = tempfile::tempdir().unwrap();
    /// # store::format(folder.path(), "control-1", &Ops::default()).unwrap();
    /// let (mut disk, _) = Disk::open(folder.path(), Ops::default()).unwrap();
    /// disk.save_snapshot(&Snapshot::default()).unwrap();
    /// ```
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.sync()?;
        let done = snapshot::save(&self.folder, snapshot, &self.ops)
            .and_then(|()| self.remove_covered_segments(snapshot.index));
        self.stop_on_error(done)
    }

    fn ensure_writable(&self) -> Result<()> {
        if self.stopped {
            return Err(Error::stopped());
        }
        Ok(())
    }

    fn stop_on_error(&mut self, done: Result<()>) -> Result<()> {
        if let Err(e) = &done
            && !e.is_full()
        {
            sync_failure::mark(&self.folder, e, &self.ops);
            self.stopped = true;
        }
        done
    }

    fn write_batch(&mut self, batch: &Batch) -> Result<()> {
        if let Some(snapshot) = &batch.snapshot {
            self.install_snapshot(snapshot, batch.hard_state)?;
        } else if self.segment.length() > self.segment_bytes {
            self.start_segment(None)?;
        }
        let mut buf = Vec::new();
        if batch.hard_state != self.hard_state {
            let frame = self.segment.hard_state_frame(batch.hard_state);
            frame.encode(&mut buf);
        }
        for record in &batch.records {
            let kind = FrameKind::Entry(record.kind);
            let data = record.data.clone();
            let frame = self.segment.frame(kind, record.index, record.term, data);
            frame.encode(&mut buf);
        }
        self.segment.write(&buf, &self.ops)?;
        self.hard_state = batch.hard_state;
        self.record_highest_index(&batch.records);
        Ok(())
    }

    /// Saves a received snapshot and resets the log. Data written before is
    /// synced first, so that it is not lost once the snapshot is durable. The
    /// snapshot is durable before the log is reset; after a crash in between,
    /// opening the folder finds a snapshot newer than the log and resets the
    /// log then.
    fn install_snapshot(&mut self, snapshot: &Snapshot, hard_state: HardState) -> Result<()> {
        self.segment.sync(&self.ops)?;
        snapshot::save(&self.folder, snapshot, &self.ops)?;
        self.hard_state = hard_state;
        self.start_segment(Some((snapshot.index, snapshot.term)))?;
        self.remove_covered_segments(u64::MAX)
    }

    fn start_segment(&mut self, reset: Option<(u64, u64)>) -> Result<()> {
        self.segment.sync(&self.ops)?;
        let number = self.segment.number + 1;
        let folder = &self.folder;
        self.segment = Segment::create(folder, number, self.hard_state, reset, &self.ops)?;
        self.highest_indices.insert(number, 0);
        Ok(())
    }

    /// Removes the oldest segments that a snapshot up to `index` covers.
    fn remove_covered_segments(&mut self, index: u64) -> Result<()> {
        while let Some((&number, &highest)) = self.highest_indices.first_key_value() {
            if number == self.segment.number || highest > index {
                break;
            }
            let path = segment::path(&self.folder, number);
            (self.ops.remove)(&path).map_err(|e| Error::io("removal", &path, e))?;
            // Without a sync, removals may become durable in any order. A
            // segment that reappeared before a gap would be treated as damage.
            let synced = (self.ops.sync_folder)(&self.folder);
            synced.map_err(|e| Error::sync(&self.folder, e))?;
            self.highest_indices.remove(&number);
        }
        snapshot::remove_obsolete(&self.folder, &self.ops)
    }

    fn record_highest_index(&mut self, records: &[Record]) {
        let highest = records.iter().map(|r| r.index).max().unwrap_or(0);
        let recorded = self.highest_indices.entry(self.segment.number).or_default();
        *recorded = highest.max(*recorded);
    }
}

/// Opens the segment to write to. A torn write is truncated even if a new
/// segment is started, because torn bytes before another segment are damage.
fn open_last_segment(
    folder: &Path,
    replay: &Replay,
    reset: Option<(u64, u64)>,
    ops: &Ops,
) -> Result<Segment> {
    const FIRST: u64 = 1;
    let last = replay.highest_indices.keys().next_back().copied();
    let started = last.filter(|_| replay.valid_len > 0);
    let opened = started.map(|number| Segment::open(folder, number, replay.valid_len, ops));
    match (opened.transpose()?, reset) {
        (Some(segment), None) => Ok(segment),
        (opened, reset) => {
            let next = opened.map(|segment| segment.number + 1);
            let number = next.or(last).unwrap_or(FIRST);
            Segment::create(folder, number, replay.hard_state, reset, ops)
        }
    }
}

fn lock(folder: &Path) -> Result<File> {
    let path = folder.join(LOCK_FILE);
    let file = File::create(&path).map_err(|e| Error::io("opening", &path, e))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(Error::in_use(folder)),
        Err(TryLockError::Error(e)) => Err(Error::io("locking", &path, e)),
    }
}
