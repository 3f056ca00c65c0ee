//! Disks that refuse.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use store::{Batch, Disk, HardState, Ops, Record, Snapshot};

fn batch(index: u64, length: usize) -> Batch {
    let (term, kind, data) = (1, 0, vec![7; length].into());
    Batch {
        snapshot: None,
        hard_state: HardState { term, vote: None },
        records: vec![Record {
            index,
            term,
            kind,
            data,
        }],
    }
}

/// The disk is full, in the midst of a record. The operator frees some room;
/// until then nothing is taken and all that was there can be read, and
/// afterwards the log goes on without a trace of the broken record.
#[test]
fn write_disk_full() {
    let folder = tempfile::tempdir().unwrap();
    store::format(folder.path(), "one", &Ops::default()).unwrap();
    let full = Arc::new(AtomicBool::new(false));
    let asked = Arc::clone(&full);
    let ops = Ops {
        write: Arc::new(move |_, file, bytes| {
            if asked.load(Ordering::Relaxed) {
                file.write_all(&bytes[..bytes.len() / 2])?;
                return Err(io::ErrorKind::StorageFull.into());
            }
            file.write_all(bytes)
        }),
        ..Ops::default()
    };
    let (mut disk, _) = Disk::open(folder.path(), ops).unwrap();
    disk.write(&batch(1, 9)).unwrap();
    full.store(true, Ordering::Relaxed);
    for _ in 0..3 {
        assert!(disk.write(&batch(2, 500)).unwrap_err().is_full());
    }
    let (index, term, data) = (1, 1, "state".into());
    let snapshot = Snapshot { index, term, data };
    assert!(disk.save_snapshot(&snapshot).unwrap_err().is_full());
    disk.sync().unwrap();
    full.store(false, Ordering::Relaxed);
    disk.write(&batch(2, 9)).unwrap();
    disk.sync().unwrap();
    disk.save_snapshot(&snapshot).unwrap();
    drop(disk);
    let (_, recovered) = Disk::open(folder.path(), Ops::default()).unwrap();
    assert_eq!(recovered.truncated_bytes, 0);
    assert_eq!(recovered.snapshot, Some(snapshot));
    assert_eq!(recovered.records, batch(2, 9).records);
}

/// A sync fails. The system may have dropped the bytes, and the next sync
/// reports success without them: the replica would acknowledge what is not
/// there. So nothing is written any more.
#[test]
fn sync_error_is_final() {
    let folder = tempfile::tempdir().unwrap();
    store::format(folder.path(), "one", &Ops::default()).unwrap();
    let failing = Arc::new(AtomicBool::new(false));
    let asked = Arc::clone(&failing);
    let ops = Ops {
        sync: Arc::new(move |_, file| {
            if asked.swap(false, Ordering::Relaxed) {
                return Err(io::Error::other("input/output error"));
            }
            file.sync_data()
        }),
        ..Ops::default()
    };
    let (mut disk, _) = Disk::open(folder.path(), ops).unwrap();
    disk.write(&batch(1, 9)).unwrap();
    failing.store(true, Ordering::Relaxed);
    assert!(disk.sync().is_err());
    assert!(disk.sync().is_err());
    assert!(disk.write(&batch(2, 9)).is_err());
}

/// Syncs that fail once with an error, when asked to.
fn failing_once(kind: io::ErrorKind) -> (Arc<AtomicBool>, Ops) {
    let failing = Arc::new(AtomicBool::new(false));
    let asked = Arc::clone(&failing);
    let ops = Ops {
        sync: Arc::new(move |_, file| {
            if asked.swap(false, Ordering::Relaxed) {
                return Err(kind.into());
            }
            file.sync_data()
        }),
        ..Ops::default()
    };
    (failing, ops)
}

/// A sync fails and the process ends; a supervisor starts it again at once.
/// The system still shows what it never wrote, so the folder must not be
/// opened as if nothing had been: what a replica promises on it is gone after
/// a power cut.
#[test]
fn open_after_failed_sync() {
    let folder = tempfile::tempdir().unwrap();
    store::format(folder.path(), "one", &Ops::default()).unwrap();
    let (failing, ops) = failing_once(io::ErrorKind::Other);
    let (mut disk, _) = Disk::open(folder.path(), ops).unwrap();
    disk.write(&batch(1, 9)).unwrap();
    failing.store(true, Ordering::Relaxed);
    assert!(disk.sync().is_err());
    drop(disk);
    for _ in 0..2 {
        let refused = Disk::open(folder.path(), Ops::default()).unwrap_err();
        assert!(refused.is_untrusted(), "{refused}");
    }
    let refused = Disk::open(folder.path(), Ops::default()).unwrap_err();
    let mark = folder.path().join("sync-failed");
    assert!(refused.to_string().contains(mark.to_str().unwrap()));
    std::fs::remove_file(mark).unwrap();
    assert!(Disk::open(folder.path(), Ops::default()).is_ok());
}

/// A replica was killed with bytes that were not synced, and the sync at its
/// next start fails. The start after that would find a system that reports
/// success without them.
#[test]
fn open_after_failed_sync_at_open() {
    let folder = tempfile::tempdir().unwrap();
    store::format(folder.path(), "one", &Ops::default()).unwrap();
    let (mut disk, _) = Disk::open(folder.path(), Ops::default()).unwrap();
    disk.write(&batch(1, 9)).unwrap();
    drop(disk);
    let (failing, ops) = failing_once(io::ErrorKind::Other);
    failing.store(true, Ordering::Relaxed);
    assert!(Disk::open(folder.path(), ops).is_err());
    let refused = Disk::open(folder.path(), Ops::default()).unwrap_err();
    assert!(refused.is_untrusted(), "{refused}");
}

/// Some file systems find only at the sync that there is no room, and may
/// have dropped the bytes by then. A write that waited for room and was tried
/// again would be reported as synced without them.
#[test]
fn sync_without_room_is_final() {
    let folder = tempfile::tempdir().unwrap();
    store::format(folder.path(), "one", &Ops::default()).unwrap();
    let (failing, ops) = failing_once(io::ErrorKind::StorageFull);
    let (mut disk, _) = Disk::open(folder.path(), ops).unwrap();
    disk.set_segment_bytes(0);
    disk.write(&batch(1, 9)).unwrap();
    failing.store(true, Ordering::Relaxed);
    // The next segment is begun, which syncs the one before.
    let refused = disk.write(&batch(2, 9)).unwrap_err();
    assert!(!refused.is_full(), "{refused}");
    assert!(disk.write(&batch(2, 9)).is_err());
}

/// A second process is started on the same folder by mistake. Both would
/// write to one log.
#[test]
fn open_folder_in_use() {
    let folder = tempfile::tempdir().unwrap();
    store::format(folder.path(), "one", &Ops::default()).unwrap();
    let (disk, _) = Disk::open(folder.path(), Ops::default()).unwrap();
    assert!(
        Disk::open(folder.path(), Ops::default())
            .unwrap_err()
            .is_in_use()
    );
    drop(disk);
    assert!(Disk::open(folder.path(), Ops::default()).is_ok());
}

/// The identity of a disk in use is gone. A new one must not take over a log
/// that holds the promises of the old.
#[test]
fn format_log_without_identity() {
    let folder = tempfile::tempdir().unwrap();
    store::format(folder.path(), "one", &Ops::default()).unwrap();
    drop(Disk::open(folder.path(), Ops::default()).unwrap());
    std::fs::remove_file(folder.path().join("identity.json")).unwrap();
    let refused = store::format(folder.path(), "one", &Ops::default());
    assert!(refused.unwrap_err().is_damage());
}
