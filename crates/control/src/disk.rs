//! The thread that owns the disk.

use crate::replica::Msg;
use ractor::ActorRef;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;
use store::{Batch, Disk, Snapshot};
use tokio_util::sync::DropGuard;

/// Maximum number of writes that one sync covers.
const MAX_GROUP_WRITES: usize = 1024;
/// Delay before a write to a full disk is retried.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A request to the disk thread.
pub(crate) enum Job {
    /// Writes the batch; its number is reported once it is synced.
    Write(u64, Batch),
    /// Writes a batch on which nothing depends, unless the disk is full.
    WriteIfRoom(Batch),
    /// Saves a snapshot of the applied log.
    Save(Snapshot),
}

/// A report from the disk thread.
#[derive(Debug)]
pub(crate) enum Report {
    /// All writes up to this number are synced.
    Persisted(u64),
    /// An attempt to save the snapshot at this index has ended.
    Saved(u64, SaveResult),
    /// The disk became full, or has room again.
    Full(Fullness),
    /// The disk failed; its contents can no longer be relied on.
    Failed(String),
}

/// Result of saving a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SaveResult {
    /// The snapshot is durable.
    Saved,
    /// The disk was full; the log is unchanged.
    DiskFull,
}

/// Whether there is room on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fullness {
    /// The last write succeeded.
    Room,
    /// A write is waiting for free space.
    Full,
}

/// Starts the disk thread. It ends once the sender is dropped and all queued jobs
/// are done. `closed` is dropped once the disk is closed.
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
            // The replica may have stopped already.
            let _ = replica.cast(Msg::Disk(Report::Failed(e.to_string())));
            return;
        }
    }
}

/// Writes all queued batches and syncs once (group commit): a commit waits for at
/// most one sync besides its own, however many commits are concurrent.
fn serve_group(
    disk: &mut Disk,
    first: Job,
    jobs: &Receiver<Job>,
    replica: &ActorRef<Msg>,
) -> store::Result<()> {
    let mut persisted = None;
    let mut save = None;
    let queued = std::iter::once(first).chain(jobs.try_iter().take(MAX_GROUP_WRITES));
    for job in queued {
        match job {
            Job::Write(number, batch) => {
                write(disk, &batch, replica)?;
                persisted = Some(number);
            }
            Job::WriteIfRoom(batch) => match disk.write(&batch) {
                Err(e) if !e.is_full() => return Err(e),
                _ => {}
            },
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
            Ok(()) => SaveResult::Saved,
            Err(e) if e.is_full() => SaveResult::DiskFull,
            Err(e) => return Err(e),
        };
        let _ = replica.cast(Msg::Disk(Report::Saved(snapshot.index, result)));
    }
    Ok(())
}

/// Writes a batch, and retries while the disk is full. Later batches must not be
/// written before this one, and the replica acknowledges nothing in the meantime.
fn write(disk: &mut Disk, batch: &Batch, replica: &ActorRef<Msg>) -> store::Result<()> {
    let mut reported_full = false;
    loop {
        match disk.write(batch) {
            Err(e) if e.is_full() => {
                let sent = replica.cast(Msg::Disk(Report::Full(Fullness::Full)));
                if sent.is_err() {
                    return Err(e);
                }
                reported_full = true;
                thread::sleep(FULL_RETRY_DELAY);
            }
            result => {
                if reported_full && result.is_ok() {
                    let _ = replica.cast(Msg::Disk(Report::Full(Fullness::Room)));
                }
                return result;
            }
        }
    }
}
