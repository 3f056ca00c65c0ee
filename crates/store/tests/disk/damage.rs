//! Disks that don't give back what was written.

use crate::model::Contents;
use quickcheck::{Gen, QuickCheck};
use std::fs;
use std::path::{Path, PathBuf};
use store::{Batch, Disk, HardState, Ops, Record};

const RECORDS: u64 = 6;

fn record(index: u64) -> Record {
    let data = format!("record {index}").into();
    Record {
        index,
        term: 1,
        kind: 0,
        data,
    }
}

/// Writes records, each with its own sync; gives the file of the segment.
fn written(folder: &Path) -> PathBuf {
    store::format(folder, "one", &Ops::default()).unwrap();
    let (mut disk, _) = Disk::open(folder, Ops::default()).unwrap();
    let hard_state = HardState {
        term: 1,
        vote: Some(3),
    };
    for index in 1..=RECORDS {
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

/// A byte of the log rots. If it was followed by a later sync, the disk must
/// be refused with the place: cutting the log there would forget what was
/// acknowledged. In the last record it can't be told from a torn write.
#[test]
fn open_any_byte_damaged() {
    let folder = tempfile::tempdir().unwrap();
    let file = written(folder.path());
    let good = fs::read(&file).unwrap();
    let last_record = good.len() - (33 + "record 6".len());
    for place in 0..good.len() {
        let mut bad = good.clone();
        bad[place] ^= 0x20;
        fs::write(&file, &bad).unwrap();
        match Disk::open(folder.path(), Ops::default()) {
            Err(e) => assert!(e.is_damage() && e.to_string().contains("byte"), "{e}"),
            Ok((_, recovered)) => {
                assert!(place >= last_record, "byte {place} went unnoticed");
                assert_eq!(recovered.records.len() as u64, RECORDS - 1);
            }
        }
    }
}

/// The end of the log is missing, at any length: as after a crash before the
/// sync. The whole records before it are used.
#[test]
fn open_any_length() {
    let folder = tempfile::tempdir().unwrap();
    let file = written(folder.path());
    let good = fs::read(&file).unwrap();
    for length in (0..good.len()).rev() {
        fs::write(&file, &good[..length]).unwrap();
        let (_, recovered) = Disk::open(folder.path(), Ops::default()).unwrap();
        let indices: Vec<u64> = recovered.records.iter().map(|r| r.index).collect();
        assert_eq!(indices, (1..=indices.len() as u64).collect::<Vec<_>>());
    }
}

/// The snapshot is damaged or missing, and the log before it is gone.
#[test]
fn open_damaged_snapshot() {
    let folder = tempfile::tempdir().unwrap();
    store::format(folder.path(), "one", &Ops::default()).unwrap();
    let (mut disk, _) = Disk::open(folder.path(), Ops::default()).unwrap();
    disk.set_segment_bytes(1);
    for index in 1..=RECORDS {
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
    let good = fs::read(&snapshot).unwrap();
    fs::write(&snapshot, &good[..good.len() - 1]).unwrap();
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
    fs::write(&snapshot, &good).unwrap();
}

/// A segment is missing that replaced the end of the log: without it records
/// of a former leader would stand before those of the next.
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

/// Any bytes at all in the place of a segment and a snapshot: the replica
/// starts or refuses, and doesn't crash.
#[test]
fn open_any_bytes() {
    fn opens(segment: Vec<u8>, snapshot: Vec<u8>, whole_start: bool) -> bool {
        let folder = tempfile::tempdir().unwrap();
        let file = written(folder.path());
        let mut bytes = if whole_start {
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
