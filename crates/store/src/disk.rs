//! A formatted folder, open for writing.

use crate::frame::FrameKind;
use crate::replay::Replay;
use crate::segment::{self, Segment};
use crate::{Batch, Error, HardState, Ops, Record, Recovered, Result, Snapshot, snapshot, trust};
use std::collections::BTreeMap;
use std::fs::{File, TryLockError};
use std::path::{Path, PathBuf};

const LOCK_FILE: &str = "lock";
/// Length after which a new segment is begun.
const SEGMENT_BYTES: u64 = 16 << 20;

/// A formatted folder, open for writing.
///
/// After a sync that failed nothing is written any more: the system may have
/// dropped what it couldn't write, and a second sync would report success for
/// bytes that are not there.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    ops: Ops,
    segment: Segment,
    hard_state: HardState,
    segment_bytes: u64,
    /// Highest index in each segment.
    highest: BTreeMap<u64, u64>,
    stopped: bool,
    /// Held so that no second process writes to the folder.
    _lock: File,
}

impl Disk {
    /// Opens a formatted folder. The crate page shows it.
    ///
    /// # Errors
    ///
    /// The folder is blank, used by another process, damaged, marked since a
    /// sync failed in it, or can't be read or written.
    ///
    /// ```
    /// # use store::{Batch, Disk, Ops, Snapshot};
    /// # let folder = tempfile::tempdir().unwrap();
    /// # store::format(folder.path(), "control-1", &Ops::default()).unwrap();
    /// let (mut disk, _) = Disk::open(folder.path(), Ops::default()).unwrap();
    /// disk.sync().unwrap();
    /// ```
    pub fn open(folder: &Path, ops: Ops) -> Result<(Disk, Recovered)> {
        let marking = ops.clone();
        let opened = Disk::open_folder(folder, ops);
        if let Err(e) = &opened {
            trust::mark(folder, e, &marking);
        }
        opened
    }

    fn open_folder(folder: &Path, ops: Ops) -> Result<(Disk, Recovered)> {
        let identity = crate::identity(folder)?;
        let lock = lock(folder)?;
        trust::check(folder)?;
        // A predecessor may have been killed between a rename and its sync.
        // What is read below must not be undone later by a power cut.
        let synced = (ops.sync_folder)(folder);
        synced.map_err(|e| Error::sync(folder, e))?;
        let snapshot = snapshot::newest(folder)?;
        let mut replay = Replay::run(folder)?;
        let goes_on = match &snapshot {
            Some(snapshot) => replay.start_after(snapshot, folder)?,
            None => true,
        };
        if snapshot.is_none() && replay.begins_late() {
            return Err(Error::damaged(folder, 0, "log without its beginning"));
        }
        let contradicted = snapshot.as_ref().filter(|_| !goes_on);
        let reset = contradicted.map(|s| (s.index, s.term));
        let segment = last_segment(folder, &replay, reset, &ops)?;
        replay.highest.insert(segment.number, 0);
        let mut disk = Disk {
            folder: folder.to_owned(),
            ops,
            segment,
            hard_state: replay.hard_state,
            segment_bytes: SEGMENT_BYTES,
            highest: replay.highest,
            stopped: false,
            _lock: lock,
        };
        disk.note_highest(&replay.records);
        snapshot::remove_old(folder, &disk.ops)?;
        let recovered = Recovered {
            identity,
            hard_state: replay.hard_state,
            snapshot,
            records: replay.records,
            truncated_bytes: replay.torn,
        };
        Ok((disk, recovered))
    }

    /// Sets the length after which a new segment is begun.
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

    /// Writes a batch. It lasts after the next [`Disk::sync`]; one that
    /// brings a snapshot lasts at once.
    ///
    /// # Errors
    ///
    /// If the disk is full nothing was written and the same may be tried
    /// again. All else stops the disk.
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
        self.going()?;
        let done = self.write_batch(batch);
        self.stop_on(done)
    }

    /// Makes all that was written last.
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
        self.going()?;
        if !self.segment.has_unsynced() {
            return Ok(());
        }
        let done = self.segment.sync(&self.ops);
        self.stop_on(done)
    }

    /// Saves a snapshot of what the log holds, and drops what it covers.
    ///
    /// # Errors
    ///
    /// If the disk is full the log is as before. All else stops the disk.
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
            .and_then(|()| self.drop_covered(snapshot.index));
        self.stop_on(done)
    }

    fn going(&self) -> Result<()> {
        if self.stopped {
            return Err(Error::stopped());
        }
        Ok(())
    }

    fn stop_on(&mut self, done: Result<()>) -> Result<()> {
        if let Err(e) = &done
            && !e.is_full()
        {
            trust::mark(&self.folder, e, &self.ops);
            self.stopped = true;
        }
        done
    }

    fn write_batch(&mut self, batch: &Batch) -> Result<()> {
        if let Some(snapshot) = &batch.snapshot {
            self.install(snapshot, batch.hard_state)?;
        } else if self.segment.length() > self.segment_bytes {
            self.roll(None)?;
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
        self.note_highest(&batch.records);
        Ok(())
    }

    /// The snapshot lasts before the log is reset; a start in between finds
    /// the snapshot newer than the log and resets it then. What was written
    /// before must not be lost when the snapshot lasts.
    fn install(&mut self, snapshot: &Snapshot, hard_state: HardState) -> Result<()> {
        self.segment.sync(&self.ops)?;
        snapshot::save(&self.folder, snapshot, &self.ops)?;
        self.hard_state = hard_state;
        self.roll(Some((snapshot.index, snapshot.term)))?;
        self.drop_covered(u64::MAX)
    }

    fn roll(&mut self, reset: Option<(u64, u64)>) -> Result<()> {
        self.segment.sync(&self.ops)?;
        let number = self.segment.number + 1;
        let folder = &self.folder;
        self.segment = Segment::create(folder, number, self.hard_state, reset, &self.ops)?;
        self.highest.insert(number, 0);
        Ok(())
    }

    /// Removes the oldest segments as long as the snapshot covers them.
    fn drop_covered(&mut self, index: u64) -> Result<()> {
        while let Some((&number, &highest)) = self.highest.first_key_value() {
            if number == self.segment.number || highest > index {
                break;
            }
            let path = segment::path(&self.folder, number);
            (self.ops.remove)(&path).map_err(|e| Error::io("removal", &path, e))?;
            // Removals that aren't synced may last in any order. A segment
            // that came back before a gap would be taken for damage.
            let synced = (self.ops.sync_folder)(&self.folder);
            synced.map_err(|e| Error::sync(&self.folder, e))?;
            self.highest.remove(&number);
        }
        snapshot::remove_old(&self.folder, &self.ops)
    }

    fn note_highest(&mut self, records: &[Record]) {
        let highest = records.iter().map(|r| r.index).max().unwrap_or(0);
        let held = self.highest.entry(self.segment.number).or_default();
        *held = highest.max(*held);
    }
}

/// Opens the segment to write to. What is torn is cut off also where a new
/// segment follows: torn bytes before another segment are damage.
fn last_segment(
    folder: &Path,
    replay: &Replay,
    reset: Option<(u64, u64)>,
    ops: &Ops,
) -> Result<Segment> {
    const FIRST: u64 = 1;
    let last = replay.highest.keys().next_back().copied();
    let begun = last.filter(|_| replay.whole > 0);
    let opened = begun.map(|number| Segment::open(folder, number, replay.whole, ops));
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
