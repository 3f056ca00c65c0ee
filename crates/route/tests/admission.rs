//! Limits and fair shares of client accounts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use quickcheck::{Gen, QuickCheck};
use route::{
    AccountLimits, Admission, AdmissionDecision, AdmissionSettings, Capacity, RefusalReason,
    RetryBudget, TicketKey,
};

const LONG: Duration = Duration::from_hours(1);

fn admission(slots: f64) -> Admission {
    let mut admission = Admission::new(AdmissionSettings::default());
    admission.set_capacity(Capacity::fixed(slots));
    admission
}

/// Guards against one large account delaying small ones. It floods the pool while
/// nine small accounts send few requests, which in order of arrival would wait
/// behind the flood.
#[test]
fn advance_admits_small_account_before_flood() {
    let now = Instant::now();
    let mut admission = admission(10.0);
    let large = admission.insert(AccountLimits::default(), now);
    let small = [(); 9].map(|()| admission.insert(AccountLimits::default(), now));
    let mut running = Vec::new();
    for _ in 0..100 {
        if let AdmissionDecision::Admitted(ticket) =
            admission.submit(now, large, 500, 1, now + LONG)
        {
            running.push(ticket);
        }
    }
    assert!(running.len() < 10, "the reserve is kept free");
    let first = admission.submit(now, small[0], 500, 1, now + LONG);
    assert!(matches!(first, AdmissionDecision::Queued(_)));
    let AdmissionDecision::Queued(ticket) = first else {
        return;
    };
    assert_eq!(admission.advance(now).admitted, [ticket]);
}

#[test]
fn submit_enforces_account_limits() {
    let now = Instant::now();
    let mut admission = admission(100.0);
    let limits = AccountLimits {
        tokens_per_s: 100.0,
        requests_per_s: 2.0,
        concurrent: 2,
        ..AccountLimits::default()
    };
    let account = admission.insert(limits, now);
    let refused = |admitted| match admitted {
        AdmissionDecision::Refused(refusal) => Some(refusal.reason),
        _ => None,
    };
    let deadline = now + LONG;
    assert_eq!(
        refused(admission.submit(now, account, 150, 1, deadline)),
        None
    );
    let second = admission.submit(now, account, 150, 1, deadline);
    assert_eq!(refused(second), Some(RefusalReason::TokenRate));
    for _ in 0..3 {
        assert_eq!(
            refused(admission.submit(now, account, 1, 1, deadline)),
            None
        );
    }
    let fifth = admission.submit(now, account, 1, 1, deadline);
    assert_eq!(refused(fifth), Some(RefusalReason::Concurrency));
    assert_eq!(admission.running_for(account), 2);
}

/// Guards against shedding urgent requests, or only after their deadline. When more
/// requests arrive than can run, those of the lowest priority are refused at once.
#[test]
fn submit_to_full_queue_sheds_lowest_priority() {
    let now = Instant::now();
    let settings = AdmissionSettings {
        queue: 2,
        ..AdmissionSettings::default()
    };
    let mut admission = Admission::new(settings);
    let account = admission.insert(AccountLimits::default(), now);
    let mut submit = |priority| admission.submit(now, account, 1, priority, now + LONG);
    let AdmissionDecision::Queued(low) = submit(1) else {
        unreachable!("there is no slot");
    };
    assert!(matches!(submit(2), AdmissionDecision::Queued(_)));
    assert!(matches!(submit(3), AdmissionDecision::Queued(_)));
    assert!(matches!(submit(1), AdmissionDecision::Refused(r) if r.reason == RefusalReason::Shed));
    let advance = admission.advance(now);
    assert_eq!(advance.refused.len(), 1);
    assert_eq!(advance.refused[0].0, low);
}

/// Guards against keeping requests in the queue past their deadline, when their
/// callers have given up.
#[test]
fn advance_refuses_past_deadline() {
    let now = Instant::now();
    let mut admission = admission(0.0);
    let account = admission.insert(AccountLimits::default(), now);
    let deadline = now + Duration::from_secs(1);
    assert!(matches!(
        admission.submit(now, account, 1, 1, deadline),
        AdmissionDecision::Queued(_)
    ));
    let advance = admission.advance(deadline);
    assert_eq!(advance.refused[0].1.reason, RefusalReason::Expired);
    assert_eq!(admission.waiting(), 0);
}

/// Guards against a standing queue under an overload of minutes, in which all
/// callers would get their first token seconds late.
#[test]
fn advance_cuts_waits_in_standing_queue() {
    let start = Instant::now();
    let settings = AdmissionSettings::default();
    let mut admission = Admission::new(settings);
    let account = admission.insert(AccountLimits::default(), start);
    let second = Duration::from_secs(1);
    let mut now = start;
    while now < start + settings.standing_after {
        admission.submit(now, account, 1, 1, now + LONG);
        assert!(admission.advance(now).refused.is_empty());
        now += second;
    }
    let newest = admission.submit(now, account, 1, 1, now + LONG);
    let refused = admission.advance(now).refused;
    assert_eq!(refused.len(), 20, "all but the newest have waited too long");
    assert!(
        refused
            .iter()
            .all(|(_, r)| r.reason == RefusalReason::Expired)
    );
    let AdmissionDecision::Queued(newest) = newest else {
        unreachable!("there is no slot");
    };
    now += settings.standing_wait;
    assert_eq!(admission.advance(now).refused[0].0, newest);
}

/// Guards against treating two bursts as a lasting overload. The queue is empty
/// between them, so it smooths both and no request may be refused.
#[test]
fn advance_keeps_queue_that_was_empty_between_bursts() {
    let start = Instant::now();
    let settings = AdmissionSettings::default();
    let mut admission = Admission::new(settings);
    let account = admission.insert(AccountLimits::default(), start);
    let AdmissionDecision::Queued(first) = admission.submit(start, account, 1, 1, start + LONG)
    else {
        unreachable!("there is no slot");
    };
    let later = start + settings.standing_after / 2;
    admission.release(first, 0);
    admission.submit(later, account, 1, 1, later + LONG);
    let end = start + settings.standing_after + settings.standing_wait;
    assert!(admission.advance(end).refused.is_empty());
    let standing = later + settings.standing_after;
    assert_eq!(admission.advance(standing).refused.len(), 1);
}

#[test]
fn admission_invariants_under_random_operations() {
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut now = Instant::now();
        let mut admission = admission(7.0);
        let limits = |i: u32| AccountLimits {
            share: f64::from(i + 1),
            concurrent: i,
            tokens_per_s: 500.0,
            requests_per_s: 50.0,
        };
        let keys: Vec<_> = (0..4).map(|i| admission.insert(limits(i), now)).collect();
        let mut known: BTreeMap<TicketKey, usize> = BTreeMap::new();
        for (operation, index, amount) in steps {
            now += Duration::from_millis(u64::from(amount));
            let i = usize::from(index) % keys.len();
            if operation % 3 == 0 && !known.is_empty() {
                let at = usize::from(index) % known.len();
                let ticket = *known.keys().nth(at).unwrap();
                known.remove(&ticket);
                admission.release(ticket, u32::from(amount));
            } else {
                let deadline = now + Duration::from_millis(300);
                let tokens = u32::from(amount);
                let priority = u32::from(operation % 4);
                match admission.submit(now, keys[i], tokens, priority, deadline) {
                    AdmissionDecision::Admitted(ticket) | AdmissionDecision::Queued(ticket) => {
                        known.insert(ticket, i);
                    }
                    AdmissionDecision::Refused(_) => {}
                }
            }
            let advance = admission.advance(now);
            for (ticket, _) in advance.refused {
                known.remove(&ticket);
            }
            let exceeds_limit = (1..4_u32).any(|i| admission.running_for(keys[i as usize]) > i);
            let total: u32 = keys.iter().map(|key| admission.running_for(*key)).sum();
            let active = admission.running() as usize + admission.waiting();
            if exceeds_limit || admission.running() > 7 || total != admission.running() {
                return false;
            }
            if active != known.len() {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 12))
        .tests(300)
        .quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Guards against unfair shares between accounts with requests of different sizes.
/// Backlogged accounts with the same weight get the same number of tokens.
#[test]
fn advance_shares_tokens_equally() {
    fn property(sizes: (u8, u8)) -> bool {
        let now = Instant::now();
        let settings = AdmissionSettings {
            reserve: 0.0,
            ..AdmissionSettings::default()
        };
        let mut admission = Admission::new(settings);
        let sizes = [u32::from(sizes.0) + 1, u32::from(sizes.1) + 1];
        let keys = sizes.map(|_| admission.insert(AccountLimits::default(), now));
        let mut tokens = [0_u64; 2];
        let mut owners = BTreeMap::new();
        let fill =
            |admission: &mut Admission, owners: &mut BTreeMap<TicketKey, usize>, i: usize| {
                if let AdmissionDecision::Queued(ticket) =
                    admission.submit(now, keys[i], sizes[i], 1, now + LONG)
                {
                    owners.insert(ticket, i);
                }
            };
        for i in [0, 1, 0, 1] {
            fill(&mut admission, &mut owners, i);
        }
        admission.set_capacity(Capacity::fixed(1.0));
        let mut current = admission.advance(now).admitted;
        for _ in 0..2000 {
            let Some(ticket) = current.pop() else {
                return false;
            };
            let i = owners[&ticket];
            tokens[i] += u64::from(sizes[i]);
            fill(&mut admission, &mut owners, i);
            admission.release(ticket, sizes[i]);
            current = admission.advance(now).admitted;
        }
        // The totals differ by at most one request of each account.
        tokens[0].abs_diff(tokens[1]) <= u64::from(sizes[0] + sizes[1])
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 13))
        .tests(50)
        .quickcheck(property as fn((u8, u8)) -> bool);
}

/// Guards against retries doubling the load on the remaining targets while all
/// requests fail and are retried.
#[test]
fn withdraw_never_exceeds_budget() {
    fn property(steps: Vec<bool>) -> bool {
        let now = Instant::now();
        let mut budget = RetryBudget::new(0.1, 3, now);
        let (mut requests, mut retries) = (0_u32, 0_u32);
        for withdraw in steps {
            if withdraw {
                retries += u32::from(budget.withdraw(now));
            } else {
                requests += 1;
                budget.deposit();
            }
            if f64::from(retries) > 0.1 * f64::from(requests) + 3.0 + 1e-6 {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 14))
        .tests(300)
        .quickcheck(property as fn(Vec<bool>) -> bool);
}

/// Guards against shedding by queue length alone. The account with the most queued
/// requests also has the higher priority, so urgent requests would be refused while
/// less urgent ones wait.
#[test]
fn submit_to_full_queue_sheds_by_priority_before_length() {
    let now = Instant::now();
    let settings = AdmissionSettings {
        queue: 2,
        ..AdmissionSettings::default()
    };
    let mut admission = Admission::new(settings);
    let urgent = admission.insert(AccountLimits::default(), now);
    let less_urgent = admission.insert(AccountLimits::default(), now);
    for _ in 0..2 {
        let admitted = admission.submit(now, urgent, 1, 2, now + LONG);
        assert!(matches!(admitted, AdmissionDecision::Queued(_)));
    }
    let admitted = admission.submit(now, less_urgent, 1, 1, now + LONG);
    assert!(matches!(admitted, AdmissionDecision::Refused(r) if r.reason == RefusalReason::Shed));
}
