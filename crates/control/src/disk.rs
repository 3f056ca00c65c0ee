//! The thread that owns the disk.

use crate::replica::Msg;
use ractor::ActorRef;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;
use store::{Batch, Disk, Snapshot};
use tokio_util::sync::DropGuard;

/// Writes that one sync covers at most.
const MOST_IN_GROUP: usize = 1024;
/// Pause before a full disk is tried again.
const FULL_PAUSE: Duration = Duration::from_millis(200);

/// What the disk is asked to do.
pub(crate) enum Job {
    /// Write the batch; the number comes back once it is synced.
    Write(u64, Batch),
    /// Save a snapshot of what the log holds.
    Save(Snapshot),
}

/// What the disk tells.
#[derive(Debug)]
pub(crate) enum Report {
    /// All writes up to this number are synced.
    Persisted(u64),
    /// The snapshot at this index is saved, or not.
    Saved(u64, SaveResult),
    /// The disk is full, or no longer.
    Full(Fullness),
    /// The disk can't be relied on any more.
    Failed(String),
}

/// Whether a snapshot is saved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SaveResult {
    /// It lasts.
    Done,
    /// The disk was full; the log is as before.
    NoRoom,
}

/// Whether there is room on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fullness {
    /// There is room.
    Room,
    /// A write waits for room.
    Full,
}

/// Starts the thread; it ends when the sender is dropped and all that was
/// asked for is done. `closed` is dropped once the disk is closed.
pub(crate) fn spawn(
    disk: Disk,
    replica: ActorRef<Msg>,
    closed: DropGuard,
) -> std::io::Result<Sender<Job>> {
    let (tx, rx) = channel();
    let name = "disk".to_owned();
    thread::Builder::new().name(name).spawn(move || {
        serve(disk, &rx, &replica);
        drop(closed);
    })?;
    Ok(tx)
}

fn serve(mut disk: Disk, jobs: &Receiver<Job>, replica: &ActorRef<Msg>) {
    while let Ok(first) = jobs.recv() {
        if let Err(e) = serve_group(&mut disk, first, jobs, replica) {
            // The replica may be gone already.
            let _ = replica.cast(Msg::Disk(Report::Failed(e.to_string())));
            return;
        }
    }
}

/// Writes all that waits and syncs once: a commit waits for one sync at most
/// beside its own, however many come at the same time.
fn serve_group(
    disk: &mut Disk,
    first: Job,
    jobs: &Receiver<Job>,
    replica: &ActorRef<Msg>,
) -> store::Result<()> {
    let mut persisted = None;
    let mut save = None;
    let waiting = std::iter::once(first).chain(jobs.try_iter().take(MOST_IN_GROUP));
    for job in waiting {
        match job {
            Job::Write(number, batch) => {
                write(disk, &batch, replica)?;
                persisted = Some(number);
            }
            Job::Save(snapshot) => {
                save = Some(snapshot);
                break;
            }
        }
    }
    disk.sync()?;
    if let Some(number) = persisted {
        let _ = replica.cast(Msg::Disk(Report::Persisted(number)));
    }
    if let Some(snapshot) = save {
        let result = match disk.save_snapshot(&snapshot) {
            Ok(()) => SaveResult::Done,
            Err(e) if e.is_full() => SaveResult::NoRoom,
            Err(e) => return Err(e),
        };
        let _ = replica.cast(Msg::Disk(Report::Saved(snapshot.index, result)));
    }
    Ok(())
}

/// Writes, and waits for room on a full disk: what comes after can't be
/// written before, and the replica promises nothing in the meantime.
fn write(disk: &mut Disk, batch: &Batch, replica: &ActorRef<Msg>) -> store::Result<()> {
    let mut told = false;
    loop {
        match disk.write(batch) {
            Err(e) if e.is_full() => {
                let gone = replica.cast(Msg::Disk(Report::Full(Fullness::Full)));
                if gone.is_err() {
                    return Err(e);
                }
                told = true;
                thread::sleep(FULL_PAUSE);
            }
            done => {
                if told && done.is_ok() {
                    let _ = replica.cast(Msg::Disk(Report::Full(Fullness::Room)));
                }
                return done;
            }
        }
    }
}
