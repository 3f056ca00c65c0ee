//! Retries of many entries against the tolerance of one service.

use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{RetryBudget, RetryLimits};
use std::time::{Duration, Instant};

/// Retries that the service tolerates in a window beyond a fifth of its requests.
const TOLERATED: u32 = 1_040;
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.15;
const TICK: Duration = Duration::from_millis(100);
const TICKS: usize = 600;

/// An entry with its budget, and the number of entries that control last told it.
struct Entry {
    budget: RetryBudget,
    known: u32,
    connected: bool,
}

/// The highest number of retries in any window, less a fifth of its requests. Every entry
/// retries whatever it may, and entries lose and regain control at random.
fn excess(entries: u32, requests_per_tick: u32, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut all: Vec<Entry> = (0..entries)
        .map(|_| Entry {
            budget: RetryBudget::new(RATIO, 1, start),
            known: entries,
            connected: true,
        })
        .collect();
    let mut history = Vec::new();
    for tick in 0..TICKS {
        let now = start + TICK * u32::try_from(tick).unwrap();
        if tick % 50 == 0 {
            for entry in &mut all {
                entry.connected = rng.random_bool(0.7);
            }
        }
        let connected = all.iter().filter(|entry| entry.connected).count();
        let connected = u32::try_from(connected).unwrap();
        let (mut requests, mut retries) = (0, 0);
        for entry in &mut all {
            if entry.connected {
                // The highest number of the last minute counts.
                entry.known = entry.known.max(connected);
            }
            let limits = RetryLimits::of_entry(TOLERATED, WINDOW, entry.known);
            entry.budget.set_limits(&limits, now);
        }
        for _ in 0..requests_per_tick {
            let chosen = rng.random_range(0..all.len());
            all[chosen].budget.deposit();
            requests += 1;
        }
        // Nothing is retried for 20 s, so that all saved retries come at once.
        for entry in all.iter_mut().filter(|_| tick >= 200) {
            while entry.budget.withdraw(now) {
                retries += 1;
            }
        }
        history.push((requests, retries));
    }
    let ticks = usize::try_from(WINDOW.as_millis() / TICK.as_millis()).unwrap();
    let sums = history.windows(ticks).map(|window| {
        let requests: u32 = window.iter().map(|(requests, _)| requests).sum();
        let retries: u32 = window.iter().map(|(_, retries)| retries).sum();
        f64::from(retries) - f64::from(requests) / 5.0
    });
    sums.fold(f64::NEG_INFINITY, f64::max)
}

/// Guards against a reserve of its own at each entry: 13 retries in ten seconds are within
/// the tolerance at 4 or 16 entries, and three times as many as tolerated at 231.
#[test]
fn of_entry_any_number_of_entries() {
    for entries in [1, 2, 4, 16, 47, 128, 231, 462, 2_000] {
        let excess = excess(entries, 31, u64::from(entries));
        assert!(
            excess <= f64::from(TOLERATED),
            "{entries} entries: {excess}"
        );
    }
}

quickcheck! {
    fn of_entry_sum_within_tolerance(tolerated: u16, entries: u16) -> bool {
        let entries = u32::from(entries).max(1);
        let limits = RetryLimits::of_entry(u32::from(tolerated), WINDOW, entries);
        limits.per_window(WINDOW) * f64::from(entries) <= f64::from(tolerated) + 1e-6
    }
}
