//! Crashes at every operation.

use crate::faulty::Faulty;
use crate::model::{Contents, Step, random_step};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::path::Path;
use store::{Disk, Ops};

const STEPS: usize = 25;
const SEEDS: u64 = 6;
/// Short, so that many segments are begun and dropped.
const SEGMENT_BYTES: u64 = 600;

/// Runs steps until done or crashed; gives what may be found afterwards, the
/// first being what was acknowledged.
fn run(folder: &Path, steps: usize, faulty: &Faulty, rng: &mut StdRng) -> Vec<Contents> {
    let Ok((mut disk, recovered)) = Disk::open(folder, faulty.ops()) else {
        return vec![Contents::default()];
    };
    disk.set_segment_bytes(SEGMENT_BYTES);
    let mut contents = Contents::of(&recovered);
    for _ in 0..steps {
        let step: Step = random_step(&contents, rng);
        let frames = step.frames(&contents);
        if step.run(&mut disk).is_err() {
            return frames;
        }
        contents = frames.last().unwrap().clone();
    }
    vec![contents]
}

fn found(folder: &Path, context: &str) -> Contents {
    match Disk::open(folder, Ops::default()) {
        Ok((_, recovered)) => Contents::of(&recovered),
        Err(e) => panic!("{context}: {e}"),
    }
}

/// The power fails at any write, sync, rename, truncation or removal. What
/// was acknowledged must be there at the next start, and nothing that was
/// never written, and the log must go on from there: a note or a claim would be forgotten otherwise, or the
/// replica refuse to start on a good disk.
#[test]
fn write_crash_at_each_operation() {
    for seed in 0..SEEDS {
        let mut operations = 0;
        loop {
            let folder = tempfile::tempdir().unwrap();
            store::format(folder.path(), "one", &Ops::default()).unwrap();
            let faulty = Faulty::new(operations, seed);
            let mut rng = StdRng::seed_from_u64(seed);
            let allowed = run(folder.path(), STEPS, &faulty, &mut rng);
            faulty.cut_power();
            let found = found(
                folder.path(),
                &format!("seed {seed}, operation {operations}"),
            );
            assert!(
                allowed.contains(&found),
                "seed {seed}, operation {operations}: {found:?} is none of {allowed:?}"
            );
            let mut all = run(folder.path(), 2, &Faulty::new(u64::MAX, seed), &mut rng);
            let again = format!("seed {seed}, operation {operations}, again");
            assert_eq!(all.pop(), Some(self::found(folder.path(), &again)));
            if !faulty.crashed() {
                break;
            }
            operations += 1;
        }
        assert!(operations > 50, "too few operations to say anything");
    }
}

/// The power fails again and again, also while the disk is being opened.
#[test]
fn open_crash_again_and_again() {
    for seed in 0..200 {
        let folder = tempfile::tempdir().unwrap();
        store::format(folder.path(), "one", &Ops::default()).unwrap();
        let mut rng = StdRng::seed_from_u64(seed);
        let mut allowed = vec![Contents::default()];
        for round in 0..10 {
            let faulty = Faulty::new((seed * 7 + round * 5) % 60, seed ^ round);
            let opened = Disk::open(folder.path(), faulty.ops());
            if let Ok((disk, recovered)) = opened {
                drop(disk);
                let found = Contents::of(&recovered);
                assert!(allowed.contains(&found), "seed {seed}, round {round}");
                let faulty = Faulty::new((seed * 3 + round * 11) % 60, seed + round);
                allowed = run(folder.path(), STEPS, &faulty, &mut rng);
                if allowed == [Contents::default()] {
                    allowed = vec![found];
                }
                faulty.cut_power();
            } else {
                faulty.cut_power();
            }
        }
    }
}

/// The power fails while a blank folder is formatted: it is blank still, or
/// has its identity, and can be used either way.
#[test]
fn format_crash_at_each_operation() {
    for operations in 0..8 {
        let folder = tempfile::tempdir().unwrap();
        let faulty = Faulty::new(operations, operations);
        let formatted = store::format(folder.path(), "one", &faulty.ops());
        faulty.cut_power();
        match store::identity(folder.path()) {
            Ok(identity) => assert_ne!(identity.disk, 0),
            Err(e) => {
                assert!(e.is_blank() && formatted.is_err(), "{e}");
                store::format(folder.path(), "one", &Ops::default()).unwrap();
            }
        }
    }
}

/// The process is killed between a write and its sync; its successor finds
/// the bytes, since the system still has them, acts on them, and then the
/// power fails. What the successor has found must last.
#[test]
fn open_after_kill_then_power_cut() {
    for operations in 5..80 {
        let folder = tempfile::tempdir().unwrap();
        store::format(folder.path(), "one", &Ops::default()).unwrap();
        let faulty = Faulty::new(operations, operations);
        let mut rng = StdRng::seed_from_u64(3);
        run(folder.path(), STEPS, &faulty, &mut rng);
        faulty.revive();
        let (disk, recovered) = Disk::open(folder.path(), faulty.ops()).unwrap();
        drop(disk);
        faulty.cut_power();
        let after = found(folder.path(), "after the power cut");
        assert_eq!(after, Contents::of(&recovered), "operation {operations}");
    }
}
