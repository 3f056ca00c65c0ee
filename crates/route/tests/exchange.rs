//! Parts of accounts' limits, given out by a leader.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use route::{FULL_QUOTA, QuotaAllocator, QuotaGrant, QuotaUsage};
use std::time::{Duration, Instant};

const ACCOUNT: u32 = 7;
const ENTRIES: usize = 5;
const LEASE: Duration = Duration::from_secs(3);

fn used(demand: u32, held: u32) -> QuotaUsage {
    QuotaUsage {
        account: ACCOUNT,
        demand,
        held,
    }
}

/// An exchange whose first lease is over, and that moment.
fn settled() -> (QuotaAllocator, Instant) {
    let began = Instant::now();
    (QuotaAllocator::new(began, LEASE), began + LEASE)
}

fn part(parts: &[QuotaGrant]) -> u32 {
    parts[0].share
}

/// A small account whose callers use one entry alone has its whole limit there.
#[test]
fn report_alone_whole() {
    let (mut exchange, now) = settled();
    assert_eq!(part(&exchange.report(1, 1, &[used(1, 0)], now)), FULL_QUOTA);
    assert_eq!(
        part(&exchange.report(1, 2, &[used(9000, FULL_QUOTA)], now)),
        FULL_QUOTA
    );
}

/// Callers of an account come to a second entry. It must not be granted what the first
/// one still acts on, and soon has as much as the first.
#[test]
fn report_second_entry() {
    let (mut exchange, mut now) = settled();
    exchange.report(1, 1, &[used(FULL_QUOTA, 0)], now);
    assert_eq!(part(&exchange.report(2, 1, &[used(FULL_QUOTA, 0)], now)), 0);
    now += LEASE / 6;
    assert_eq!(
        part(&exchange.report(1, 2, &[used(FULL_QUOTA, FULL_QUOTA)], now)),
        FULL_QUOTA / 2
    );
    // The first one may not have heard of that.
    assert_eq!(part(&exchange.report(2, 2, &[used(FULL_QUOTA, 0)], now)), 0);
    exchange.report(1, 3, &[used(FULL_QUOTA, FULL_QUOTA / 2)], now);
    assert_eq!(
        part(&exchange.report(2, 3, &[used(FULL_QUOTA, 0)], now)),
        FULL_QUOTA / 2
    );
}

/// An entry that held the whole dies. Another one must not wait for it for longer than a
/// lease.
#[test]
fn report_holder_dead() {
    let (mut exchange, now) = settled();
    exchange.report(1, 1, &[used(FULL_QUOTA, 0)], now);
    assert_eq!(part(&exchange.report(2, 1, &[used(10, 0)], now)), 0);
    let later = now + LEASE;
    assert_eq!(
        part(&exchange.report(2, 2, &[used(10, 0)], later)),
        FULL_QUOTA
    );
}

/// One step of a schedule.
#[derive(Clone, Copy, Debug)]
struct Step {
    entry: usize,
    demand: u32,
    what: What,
    millis: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum What {
    /// Its report gets there and so does the answer.
    Answered,
    /// Its report gets there, the answer doesn't.
    Unanswered,
    /// A report of its that lay somewhere gets there after later ones.
    Overtaken,
    /// Another leader takes over.
    NewLeader,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let what = match u8::arbitrary(g) % 20 {
            0 => What::NewLeader,
            1..=3 => What::Overtaken,
            4..=7 => What::Unanswered,
            _ => What::Answered,
        };
        Step {
            entry: usize::arbitrary(g) % ENTRIES,
            demand: u32::arbitrary(g) % (FULL_QUOTA + 1),
            what,
            millis: u64::arbitrary(g) % 900,
        }
    }
}

/// What an entry acts on, and the reports that it has sent.
#[derive(Clone, Debug, Default)]
struct Entry {
    granted: Option<(u32, Instant)>,
    sequence: u64,
    old: Option<(u64, QuotaUsage)>,
}

impl Entry {
    fn acts_on(&self, now: Instant) -> u32 {
        let valid = self.granted.filter(|(_, until)| now < *until);
        valid.map_or(0, |(part, _)| part)
    }
}

/// Answers are lost, reports come late, leaders change. If the entries together ever acted
/// on more than the whole, the account would exceed its limits for as long.
#[test]
fn report_any_schedule_never_above_whole() {
    fn property(steps: Vec<Step>) -> bool {
        let mut now = Instant::now();
        let mut exchange = QuotaAllocator::new(now, LEASE);
        let mut entries = vec![Entry::default(); ENTRIES];
        for step in steps {
            now += Duration::from_millis(step.millis);
            let entry = &mut entries[step.entry];
            let key = step.entry as u64;
            match step.what {
                What::NewLeader => exchange = QuotaAllocator::new(now, LEASE),
                What::Overtaken => {
                    if let Some((sequence, used)) = entry.old {
                        exchange.report(key, sequence, &[used], now);
                    }
                }
                What::Answered | What::Unanswered => {
                    entry.sequence += 1;
                    let used = used(step.demand, entry.acts_on(now));
                    let parts = exchange.report(key, entry.sequence, &[used], now);
                    entry.old = Some((entry.sequence, used));
                    if step.what == What::Answered {
                        entry.granted = Some((part(&parts), now + LEASE));
                    }
                }
            }
            let sum: u32 = entries.iter().map(|entry| entry.acts_on(now)).sum();
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
