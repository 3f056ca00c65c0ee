//! Damaged or missing data on the disk.

use crate::model::Contents;
use quickcheck::{Gen, QuickCheck};
use std::fs;
use std::path::{Path, PathBuf};
use store::{Batch, Disk, HardState, Ops, Record};

const RECORD_COUNT: u64 = 6;

fn record(index: u64) -> Record {
    let data = format!("record {index}").into();
    Record {
        index,
        term: 1,
        kind: 0,
        data,
    }
}

/// Writes records, each with its own sync, and returns the path of the segment.
fn write_records(folder: &Path) -> PathBuf {
    store::format(folder, "one", &Ops::default()).unwrap();
    let (mut disk, _) = Disk::open(folder, Ops::default()).unwrap();
    let hard_state = HardState {
        term: 1,
        vote: Some(3),
        commit: 0,
    };
    for index in 1..=RECORD_COUNT {
        let records = vec![record(index)];
        disk.write(&Batch {
            snapshot: None,
            hard_state,
            records,
        })
        .unwrap();
        disk.sync().unwrap();
    }
    folder.join("0000000000000001.log")
}

/// One byte of the log is damaged. If a later record was synced, opening must
/// fail with the offset, because truncating the log there would lose
/// acknowledged data. In the last record the damage looks like a torn write.
#[test]
fn open_any_byte_damaged() {
    let folder = tempfile::tempdir().unwrap();
    let file = write_records(folder.path());
    let valid = fs::read(&file).unwrap();
    let last_record = valid.len() - (33 + "record 6".len());
    for offset in 0..valid.len() {
        let mut damaged = valid.clone();
        damaged[offset] ^= 0x20;
        fs::write(&file, &damaged).unwrap();
        match Disk::open(folder.path(), Ops::default()) {
            Err(e) => assert!(e.is_damage() && e.to_string().contains("byte"), "{e}"),
            Ok((_, recovered)) => {
                assert!(
                    offset >= last_record,
                    "damage at byte {offset} was not detected"
                );
                assert_eq!(recovered.records.len() as u64, RECORD_COUNT - 1);
            }
        }
    }
}

/// The log is truncated at any length, as after a crash before a sync. The
/// complete records before that offset must be recovered.
#[test]
fn open_any_length() {
    let folder = tempfile::tempdir().unwrap();
    let file = write_records(folder.path());
    let valid = fs::read(&file).unwrap();
    for length in (0..valid.len()).rev() {
        fs::write(&file, &valid[..length]).unwrap();
        let (_, recovered) = Disk::open(folder.path(), Ops::default()).unwrap();
        let indices: Vec<u64> = recovered.records.iter().map(|r| r.index).collect();
        assert_eq!(indices, (1..=indices.len() as u64).collect::<Vec<_>>());
    }
}

/// The snapshot is damaged or missing, and the log before it has been removed.
#[test]
fn open_damaged_snapshot() {
    let folder = tempfile::tempdir().unwrap();
    store::format(folder.path(), "one", &Ops::default()).unwrap();
    let (mut disk, _) = Disk::open(folder.path(), Ops::default()).unwrap();
    disk.set_segment_bytes(1);
    for index in 1..=RECORD_COUNT {
        let records = vec![record(index)];
        disk.write(&Batch {
            records,
            ..Batch::default()
        })
        .unwrap();
        disk.sync().unwrap();
    }
    let data = "state".into();
    disk.save_snapshot(&store::Snapshot {
        index: 2,
        term: 1,
        data,
    })
    .unwrap();
    drop(disk);
    let (disk, recovered) = Disk::open(folder.path(), Ops::default()).unwrap();
    assert_eq!(Contents::of(&recovered).records.len(), 4);
    drop(disk);

    let snapshot = folder.path().join("00000000000000000002.snapshot");
    let valid = fs::read(&snapshot).unwrap();
    fs::write(&snapshot, &valid[..valid.len() - 1]).unwrap();
    assert!(
        Disk::open(folder.path(), Ops::default())
            .unwrap_err()
            .is_damage()
    );
    fs::remove_file(&snapshot).unwrap();
    assert!(
        Disk::open(folder.path(), Ops::default())
            .unwrap_err()
            .is_damage()
    );
    fs::write(&snapshot, &valid).unwrap();
}

/// A segment that replaced the end of the log is missing. Without it, records
/// of a former leader would precede those of the next one.
#[test]
fn open_missing_segment() {
    let folder = tempfile::tempdir().unwrap();
    store::format(folder.path(), "one", &Ops::default()).unwrap();
    let (mut disk, _) = Disk::open(folder.path(), Ops::default()).unwrap();
    disk.set_segment_bytes(1);
    for index in [1, 2, 3, 2, 3] {
        let records = vec![record(index)];
        disk.write(&Batch {
            records,
            ..Batch::default()
        })
        .unwrap();
        disk.sync().unwrap();
    }
    drop(disk);
    fs::remove_file(folder.path().join("0000000000000005.log")).unwrap();
    let refused = Disk::open(folder.path(), Ops::default()).unwrap_err();
    assert!(refused.to_string().contains("missing segment"), "{refused}");
}

/// A segment and a snapshot contain arbitrary bytes. Opening must succeed or
/// fail, but not crash.
#[test]
fn open_any_bytes() {
    fn opens(segment: Vec<u8>, snapshot: Vec<u8>, valid_start: bool) -> bool {
        let folder = tempfile::tempdir().unwrap();
        let file = write_records(folder.path());
        let mut bytes = if valid_start {
            fs::read(&file).unwrap()
        } else {
            Vec::new()
        };
        bytes.extend(segment);
        fs::write(&file, bytes).unwrap();
        if !snapshot.is_empty() {
            let name = "00000000000000000002.snapshot";
            fs::write(folder.path().join(name), snapshot).unwrap();
        }
        let _ = Disk::open(folder.path(), Ops::default());
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .quickcheck(opens as fn(Vec<u8>, Vec<u8>, bool) -> bool);
}
