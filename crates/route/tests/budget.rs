//! Retries of several entries against the tolerance of one service.

use route::RetryBudget;
use std::time::{Duration, Instant};

/// Requests to the service in ten seconds, over all entries.
const REQUESTS: u32 = 949;
const ENTRIES: u32 = 4;
/// Retries that the service tolerates in ten seconds: a fifth of the requests, and 88 in
/// addition.
const MAX_RETRIES: u32 = REQUESTS / 5 + 88;

/// Guards against overloading the remaining targets when a group is lost after a quiet
/// time. For ten seconds each request fails immediately and would be retried, and the
/// retries earned before at all entries must not be added.
#[test]
fn withdraw_is_bounded_after_quiet_time() {
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
    assert!(retries <= MAX_RETRIES, "{retries} of {MAX_RETRIES}");
}
