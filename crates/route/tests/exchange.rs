//! Allocation of account quotas by a leader.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use route::{FULL_QUOTA, QuotaAllocator, QuotaGrant, QuotaUsage};
use std::time::{Duration, Instant};

const ACCOUNT: u32 = 7;
const ENTRIES: usize = 5;
const LEASE: Duration = Duration::from_secs(3);

fn usage(demand: u32, held: u32) -> QuotaUsage {
    QuotaUsage {
        account: ACCOUNT,
        demand,
        held,
    }
}

/// Creates an allocator after its first lease, and returns the time.
fn settled_allocator() -> (QuotaAllocator, Instant) {
    let elected_at = Instant::now();
    (QuotaAllocator::new(elected_at, LEASE), elected_at + LEASE)
}

fn share(grants: &[QuotaGrant]) -> u32 {
    grants[0].share
}

/// Guards against cutting the limit of a small account whose callers use only one entry.
#[test]
fn report_from_single_entry_gets_full_quota() {
    let (mut allocator, now) = settled_allocator();
    assert_eq!(
        share(&allocator.report(1, 1, &[usage(1, 0)], now)),
        FULL_QUOTA
    );
    assert_eq!(
        share(&allocator.report(1, 2, &[usage(9000, FULL_QUOTA)], now)),
        FULL_QUOTA
    );
}

/// Guards against granting a second entry the share that the first still uses. After the
/// first has applied a smaller share, both get the same.
#[test]
fn report_from_second_entry() {
    let (mut allocator, mut now) = settled_allocator();
    allocator.report(1, 1, &[usage(FULL_QUOTA, 0)], now);
    assert_eq!(
        share(&allocator.report(2, 1, &[usage(FULL_QUOTA, 0)], now)),
        0
    );
    now += LEASE / 6;
    assert_eq!(
        share(&allocator.report(1, 2, &[usage(FULL_QUOTA, FULL_QUOTA)], now)),
        FULL_QUOTA / 2
    );
    // The first entry may not have received that grant yet.
    assert_eq!(
        share(&allocator.report(2, 2, &[usage(FULL_QUOTA, 0)], now)),
        0
    );
    allocator.report(1, 3, &[usage(FULL_QUOTA, FULL_QUOTA / 2)], now);
    assert_eq!(
        share(&allocator.report(2, 3, &[usage(FULL_QUOTA, 0)], now)),
        FULL_QUOTA / 2
    );
}

/// Guards against waiting for a failed entry that held the full quota for longer than a
/// lease.
#[test]
fn report_after_holder_failed() {
    let (mut allocator, now) = settled_allocator();
    allocator.report(1, 1, &[usage(FULL_QUOTA, 0)], now);
    assert_eq!(share(&allocator.report(2, 1, &[usage(10, 0)], now)), 0);
    let later = now + LEASE;
    assert_eq!(
        share(&allocator.report(2, 2, &[usage(10, 0)], later)),
        FULL_QUOTA
    );
}

/// One step of a random schedule.
#[derive(Clone, Copy, Debug)]
struct Step {
    entry: usize,
    demand: u32,
    event: StepEvent,
    millis: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StepEvent {
    /// The report and its answer are delivered.
    Answered,
    /// The report is delivered, but its answer is lost.
    AnswerLost,
    /// An older report is delivered after later ones.
    Reordered,
    /// A new leader is elected.
    NewLeader,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let event = match u8::arbitrary(g) % 20 {
            0 => StepEvent::NewLeader,
            1..=3 => StepEvent::Reordered,
            4..=7 => StepEvent::AnswerLost,
            _ => StepEvent::Answered,
        };
        Step {
            entry: usize::arbitrary(g) % ENTRIES,
            demand: u32::arbitrary(g) % (FULL_QUOTA + 1),
            event,
            millis: u64::arbitrary(g) % 900,
        }
    }
}

/// The grant that an entry applies, and its last report.
#[derive(Clone, Debug, Default)]
struct Entry {
    granted: Option<(u32, Instant)>,
    sequence: u64,
    last_report: Option<(u64, QuotaUsage)>,
}

impl Entry {
    fn applied_share(&self, now: Instant) -> u32 {
        let valid = self.granted.filter(|(_, until)| now < *until);
        valid.map_or(0, |(share, _)| share)
    }
}

/// Guards against entries together applying more than the full quota while answers are
/// lost, reports are reordered and leaders change. The account would exceed its limits.
#[test]
fn report_never_exceeds_full_quota() {
    fn property(steps: Vec<Step>) -> bool {
        let mut now = Instant::now();
        let mut allocator = QuotaAllocator::new(now, LEASE);
        let mut entries = vec![Entry::default(); ENTRIES];
        for step in steps {
            now += Duration::from_millis(step.millis);
            let entry = &mut entries[step.entry];
            let key = step.entry as u64;
            match step.event {
                StepEvent::NewLeader => allocator = QuotaAllocator::new(now, LEASE),
                StepEvent::Reordered => {
                    if let Some((sequence, usage)) = entry.last_report {
                        allocator.report(key, sequence, &[usage], now);
                    }
                }
                StepEvent::Answered | StepEvent::AnswerLost => {
                    entry.sequence += 1;
                    let usage = usage(step.demand, entry.applied_share(now));
                    let grants = allocator.report(key, entry.sequence, &[usage], now);
                    entry.last_report = Some((entry.sequence, usage));
                    if step.event == StepEvent::Answered {
                        entry.granted = Some((share(&grants), now + LEASE));
                    }
                }
            }
            let sum: u32 = entries.iter().map(|entry| entry.applied_share(now)).sum();
            if sum > FULL_QUOTA {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .tests(2000)
        .rng(Gen::from_size_and_seed(120, 11))
        .quickcheck(property as fn(Vec<Step>) -> bool);
}
