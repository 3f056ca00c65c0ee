//! Errors of disk operations.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use store::{Batch, Disk, HardState, Ops, Record, Snapshot};

fn batch(index: u64, length: usize) -> Batch {
    let (term, kind, data) = (1, 0, vec![7; length].into());
    Batch {
        snapshot: None,
        hard_state: HardState {
            term,
            ..HardState::default()
        },
        records: vec![Record {
            index,
            term,
            kind,
            data,
        }],
    }
}

/// The disk becomes full in the middle of a record. Until an operator frees
/// space, writes must fail and existing data must stay readable. Afterwards the
/// log must continue without any part of the incomplete record.
#[test]
fn write_disk_full() {
    let folder = tempfile::tempdir().unwrap();
    store::format(folder.path(), "one", &Ops::default()).unwrap();
    let disk_full = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&disk_full);
    let ops = Ops {
        write: Arc::new(move |_, file, bytes| {
            if flag.load(Ordering::Relaxed) {
                file.write_all(&bytes[..bytes.len() / 2])?;
                return Err(io::ErrorKind::StorageFull.into());
            }
            file.write_all(bytes)
        }),
        ..Ops::default()
    };
    let (mut disk, _) = Disk::open(folder.path(), ops).unwrap();
    disk.write(&batch(1, 9)).unwrap();
    disk_full.store(true, Ordering::Relaxed);
    for _ in 0..3 {
        assert!(disk.write(&batch(2, 500)).unwrap_err().is_full());
    }
    let (index, term, data) = (1, 1, "state".into());
    let snapshot = Snapshot { index, term, data };
    assert!(disk.save_snapshot(&snapshot).unwrap_err().is_full());
    disk.sync().unwrap();
    disk_full.store(false, Ordering::Relaxed);
    disk.write(&batch(2, 9)).unwrap();
    disk.sync().unwrap();
    disk.save_snapshot(&snapshot).unwrap();
    drop(disk);
    let (_, recovered) = Disk::open(folder.path(), Ops::default()).unwrap();
    assert_eq!(recovered.truncated_bytes, 0);
    assert_eq!(recovered.snapshot, Some(snapshot));
    assert_eq!(recovered.records, batch(2, 9).records);
}

/// A sync fails. The operating system may have dropped the data, and the next
/// sync would succeed without it, so a replica could acknowledge lost data.
/// Nothing may be written after a failed sync.
#[test]
fn sync_error_is_final() {
    let folder = tempfile::tempdir().unwrap();
    store::format(folder.path(), "one", &Ops::default()).unwrap();
    let failing = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&failing);
    let ops = Ops {
        sync: Arc::new(move |_, file| {
            if flag.swap(false, Ordering::Relaxed) {
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

/// Returns file operations of which one sync fails once the flag is set.
fn fail_one_sync(kind: io::ErrorKind) -> (Arc<AtomicBool>, Ops) {
    let failing = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&failing);
    let ops = Ops {
        sync: Arc::new(move |_, file| {
            if flag.swap(false, Ordering::Relaxed) {
                return Err(kind.into());
            }
            file.sync_data()
        }),
        ..Ops::default()
    };
    (failing, ops)
}

/// A sync fails, the process ends and a supervisor restarts it at once. The
/// operating system still returns data that it never wrote. Opening the folder
/// must fail, because data acknowledged on that basis would be lost in a power
/// failure.
#[test]
fn open_after_failed_sync() {
    let folder = tempfile::tempdir().unwrap();
    store::format(folder.path(), "one", &Ops::default()).unwrap();
    let (failing, ops) = fail_one_sync(io::ErrorKind::Other);
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

/// A replica was killed with unsynced data, and the sync at its next start
/// fails. At the start after that, a sync would succeed without the data.
#[test]
fn open_after_failed_sync_at_open() {
    let folder = tempfile::tempdir().unwrap();
    store::format(folder.path(), "one", &Ops::default()).unwrap();
    let (mut disk, _) = Disk::open(folder.path(), Ops::default()).unwrap();
    disk.write(&batch(1, 9)).unwrap();
    drop(disk);
    let (failing, ops) = fail_one_sync(io::ErrorKind::Other);
    failing.store(true, Ordering::Relaxed);
    assert!(Disk::open(folder.path(), ops).is_err());
    let refused = Disk::open(folder.path(), Ops::default()).unwrap_err();
    assert!(refused.is_untrusted(), "{refused}");
}

/// Some file systems report a full disk only at the sync and may have dropped
/// the data by then. If the write were retried once there is space, it would be
/// reported as synced although its data is missing.
#[test]
fn sync_without_room_is_final() {
    let folder = tempfile::tempdir().unwrap();
    store::format(folder.path(), "one", &Ops::default()).unwrap();
    let (failing, ops) = fail_one_sync(io::ErrorKind::StorageFull);
    let (mut disk, _) = Disk::open(folder.path(), ops).unwrap();
    disk.set_segment_bytes(0);
    disk.write(&batch(1, 9)).unwrap();
    failing.store(true, Ordering::Relaxed);
    // Starting the next segment syncs the previous one.
    let refused = disk.write(&batch(2, 9)).unwrap_err();
    assert!(!refused.is_full(), "{refused}");
    assert!(disk.write(&batch(2, 9)).is_err());
}

/// A second process is started on the same folder by mistake. Both would write
/// to the same log.
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

/// The identity file of a disk with a log is missing. A new identity must not
/// take over the votes and entries of the old one.
#[test]
fn format_log_without_identity() {
    let folder = tempfile::tempdir().unwrap();
    store::format(folder.path(), "one", &Ops::default()).unwrap();
    drop(Disk::open(folder.path(), Ops::default()).unwrap());
    std::fs::remove_file(folder.path().join("identity.json")).unwrap();
    let refused = store::format(folder.path(), "one", &Ops::default());
    assert!(refused.unwrap_err().is_damage());
}
