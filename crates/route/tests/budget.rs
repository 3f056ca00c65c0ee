//! Retries of several entries against what one service bears.

use route::RetryBudget;
use std::time::{Duration, Instant};

/// Requests of a service in ten seconds, at all entries.
const REQUESTS: u32 = 949;
const ENTRIES: u32 = 4;
/// A fifth of the requests, and as many more as targets bear in any case.
const BORNE: u32 = REQUESTS / 5 + 88;

/// After a quiet time a group is lost, and for ten seconds each request fails
/// at once and would be retried. What the quiet time has earned at all entries
/// must not come on top: targets that still work would be overloaded.
#[test]
fn withdraw_storm_after_quiet_time() {
    let start = Instant::now();
    let budget = || RetryBudget::new(0.15, 3, start).bounded(5.0, Duration::from_secs(2));
    let mut budgets: Vec<RetryBudget> = (0..ENTRIES).map(|_| budget()).collect();
    for budget in &mut budgets {
        for _ in 0..5_000 {
            budget.deposit();
        }
    }
    let mut retries = 0;
    for request in 0..REQUESTS {
        let now = start + Duration::from_mins(1) + Duration::from_secs(10) * request / REQUESTS;
        for (entry, budget) in (0..).zip(&mut budgets) {
            if request % ENTRIES == entry {
                budget.deposit();
            }
            retries += u32::from(budget.withdraw(now));
        }
    }
    assert!(retries <= BORNE, "{retries} of {BORNE}");
}
