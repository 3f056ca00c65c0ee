//! Crashes and power failures at every file operation.

use crate::fault_injector::FaultInjector;
use crate::model::{Contents, Step, random_step};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::path::Path;
use store::{Disk, Ops};

const STEPS: usize = 25;
const SEED_COUNT: u64 = 6;
/// Short, so that many segments are started and removed.
const SEGMENT_BYTES: u64 = 600;

/// Runs steps until done or crashed. Returns the contents that may be recovered
/// afterwards; the first are the acknowledged ones.
fn run(folder: &Path, steps: usize, injector: &FaultInjector, rng: &mut StdRng) -> Vec<Contents> {
    let Ok((mut disk, recovered)) = Disk::open(folder, injector.ops()) else {
        return vec![Contents::default()];
    };
    disk.set_segment_bytes(SEGMENT_BYTES);
    let mut contents = Contents::of(&recovered);
    for _ in 0..steps {
        let step: Step = random_step(&contents, rng);
        let states = step.durable_states(&contents);
        if step.run(&mut disk).is_err() {
            return states;
        }
        contents = states.last().unwrap().clone();
    }
    vec![contents]
}

fn recover(folder: &Path, context: &str) -> Contents {
    match Disk::open(folder, Ops::default()) {
        Ok((_, recovered)) => Contents::of(&recovered),
        Err(e) => panic!("{context}: {e}"),
    }
}

/// The power fails at any write, sync, rename, truncation or removal. The next
/// start must recover all acknowledged data and nothing that was never written,
/// and the log must accept further writes. Otherwise acknowledged data would be
/// lost, or a replica would not start on an undamaged disk.
#[test]
fn write_crash_at_each_operation() {
    for seed in 0..SEED_COUNT {
        let mut operations = 0;
        loop {
            let folder = tempfile::tempdir().unwrap();
            store::format(folder.path(), "one", &Ops::default()).unwrap();
            let injector = FaultInjector::new(operations, seed);
            let mut rng = StdRng::seed_from_u64(seed);
            let allowed = run(folder.path(), STEPS, &injector, &mut rng);
            injector.fail_power();
            let found = recover(
                folder.path(),
                &format!("seed {seed}, operation {operations}"),
            );
            assert!(
                allowed.contains(&found),
                "seed {seed}, operation {operations}: recovered {found:?}, expected one of {allowed:?}"
            );
            let mut all = run(
                folder.path(),
                2,
                &FaultInjector::new(u64::MAX, seed),
                &mut rng,
            );
            let again = format!("seed {seed}, operation {operations}, again");
            assert_eq!(all.pop(), Some(self::recover(folder.path(), &again)));
            if !injector.crashed() {
                break;
            }
            operations += 1;
        }
        assert!(operations > 50, "too few operations for a meaningful test");
    }
}

/// The power fails repeatedly, also while the disk is being opened.
#[test]
fn open_repeated_crashes() {
    for seed in 0..200 {
        let folder = tempfile::tempdir().unwrap();
        store::format(folder.path(), "one", &Ops::default()).unwrap();
        let mut rng = StdRng::seed_from_u64(seed);
        let mut allowed = vec![Contents::default()];
        for round in 0..10 {
            let injector = FaultInjector::new((seed * 7 + round * 5) % 60, seed ^ round);
            let opened = Disk::open(folder.path(), injector.ops());
            if let Ok((disk, recovered)) = opened {
                drop(disk);
                let found = Contents::of(&recovered);
                assert!(allowed.contains(&found), "seed {seed}, round {round}");
                let injector = FaultInjector::new((seed * 3 + round * 11) % 60, seed + round);
                allowed = run(folder.path(), STEPS, &injector, &mut rng);
                if allowed == [Contents::default()] {
                    allowed = vec![found];
                }
                injector.fail_power();
            } else {
                injector.fail_power();
            }
        }
    }
}

/// The power fails while a blank folder is formatted. The folder must be either
/// blank or formatted, and usable in both cases.
#[test]
fn format_crash_at_each_operation() {
    for operations in 0..8 {
        let folder = tempfile::tempdir().unwrap();
        let injector = FaultInjector::new(operations, operations);
        let formatted = store::format(folder.path(), "one", &injector.ops());
        injector.fail_power();
        match store::identity(folder.path()) {
            Ok(identity) => assert_ne!(identity.disk, 0),
            Err(e) => {
                assert!(e.is_blank() && formatted.is_err(), "{e}");
                store::format(folder.path(), "one", &Ops::default()).unwrap();
            }
        }
    }
}

/// The process is killed between a write and its sync. The next process reads
/// the data, which the operating system still holds, and then the power fails.
/// The data that the process recovered must be durable.
#[test]
fn open_after_kill_then_power_failure() {
    for operations in 5..80 {
        let folder = tempfile::tempdir().unwrap();
        store::format(folder.path(), "one", &Ops::default()).unwrap();
        let injector = FaultInjector::new(operations, operations);
        let mut rng = StdRng::seed_from_u64(3);
        run(folder.path(), STEPS, &injector, &mut rng);
        injector.restart_process();
        let (disk, recovered) = Disk::open(folder.path(), injector.ops()).unwrap();
        drop(disk);
        injector.fail_power();
        let after = recover(folder.path(), "after the power failure");
        assert_eq!(after, Contents::of(&recovered), "operation {operations}");
    }
}
