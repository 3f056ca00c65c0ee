//! Limits and fair shares of client accounts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use quickcheck::{Gen, QuickCheck};
use route::{
    AccountLimits, Admission, AdmissionDecision, AdmissionSettings, Capacity, RefusalReason,
    RetryBudget, TicketKey,
};

const LONG: Duration = Duration::from_hours(1);

fn admission(places: f64) -> Admission {
    let mut admission = Admission::new(AdmissionSettings::default());
    admission.set_capacity(Capacity::fixed(places));
    admission
}

/// One large account floods the pool while nine small ones send now and then.
/// In order of arrival, the small ones would wait behind the flood.
#[test]
fn advance_fair_share() {
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
fn enter_account_limits() {
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

/// More requests come than can ever be run. Whoever is refused should be the
/// least urgent, and hear of it at once rather than after the deadline.
#[test]
fn enter_queue_full_sheds_lowest() {
    let now = Instant::now();
    let settings = AdmissionSettings {
        queue: 2,
        ..AdmissionSettings::default()
    };
    let mut admission = Admission::new(settings);
    let account = admission.insert(AccountLimits::default(), now);
    let mut enter = |priority| admission.submit(now, account, 1, priority, now + LONG);
    let AdmissionDecision::Queued(low) = enter(1) else {
        unreachable!("nothing has a place");
    };
    assert!(matches!(enter(2), AdmissionDecision::Queued(_)));
    assert!(matches!(enter(3), AdmissionDecision::Queued(_)));
    assert!(matches!(enter(1), AdmissionDecision::Refused(r) if r.reason == RefusalReason::Shed));
    let advance = admission.advance(now);
    assert_eq!(advance.refused.len(), 1);
    assert_eq!(advance.refused[0].0, low);
}

/// No target has room until the deadline has passed. A caller that is left to
/// wait longer has given up already.
#[test]
fn advance_past_deadline() {
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

/// More work comes than the targets can do, for minutes. If everyone may wait
/// for long, everyone does: all callers see their first token seconds late.
#[test]
fn advance_standing_queue() {
    let began = Instant::now();
    let settings = AdmissionSettings::default();
    let mut admission = Admission::new(settings);
    let account = admission.insert(AccountLimits::default(), began);
    let second = Duration::from_secs(1);
    let mut now = began;
    while now < began + settings.standing_after {
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
        unreachable!("there is no place");
    };
    now += settings.standing_wait;
    assert_eq!(admission.advance(now).refused[0].0, newest);
}

/// A burst fills the queue, then it empties, then another burst comes. The
/// queue smooths both: nobody may be refused as in a lasting overload.
#[test]
fn advance_queue_empty_between() {
    let began = Instant::now();
    let settings = AdmissionSettings::default();
    let mut admission = Admission::new(settings);
    let account = admission.insert(AccountLimits::default(), began);
    let AdmissionDecision::Queued(first) = admission.submit(began, account, 1, 1, began + LONG)
    else {
        unreachable!("there is no place");
    };
    let later = began + settings.standing_after / 2;
    admission.release(first, 0);
    admission.submit(later, account, 1, 1, later + LONG);
    let end = began + settings.standing_after + settings.standing_wait;
    assert!(admission.advance(end).refused.is_empty());
    let standing = later + settings.standing_after;
    assert_eq!(admission.advance(standing).refused.len(), 1);
}

#[test]
fn admission_random_operations() {
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
        for (what, which, amount) in steps {
            now += Duration::from_millis(u64::from(amount));
            let i = usize::from(which) % keys.len();
            if what % 3 == 0 && !known.is_empty() {
                let at = usize::from(which) % known.len();
                let ticket = *known.keys().nth(at).unwrap();
                known.remove(&ticket);
                admission.release(ticket, u32::from(amount));
            } else {
                let deadline = now + Duration::from_millis(300);
                let tokens = u32::from(amount);
                let priority = u32::from(what % 4);
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
            let over = (1..4_u32).any(|i| admission.running_for(keys[i as usize]) > i);
            let total: u32 = keys.iter().map(|key| admission.running_for(*key)).sum();
            let present = admission.running() as usize + admission.waiting();
            if over || admission.running() > 7 || total != admission.running() {
                return false;
            }
            if present != known.len() {
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

/// Accounts with the same weight that always have requests waiting get the
/// same tokens, however large each one's requests are.
#[test]
fn advance_shares_in_tokens() {
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
        let mut of = BTreeMap::new();
        let fill = |admission: &mut Admission, of: &mut BTreeMap<TicketKey, usize>, i: usize| {
            if let AdmissionDecision::Queued(ticket) =
                admission.submit(now, keys[i], sizes[i], 1, now + LONG)
            {
                of.insert(ticket, i);
            }
        };
        for i in [0, 1, 0, 1] {
            fill(&mut admission, &mut of, i);
        }
        admission.set_capacity(Capacity::fixed(1.0));
        let mut current = admission.advance(now).admitted;
        for _ in 0..2000 {
            let Some(ticket) = current.pop() else {
                return false;
            };
            let i = of[&ticket];
            tokens[i] += u64::from(sizes[i]);
            fill(&mut admission, &mut of, i);
            admission.release(ticket, sizes[i]);
            current = admission.advance(now).admitted;
        }
        // They differ by no more than one request of each.
        tokens[0].abs_diff(tokens[1]) <= u64::from(sizes[0] + sizes[1])
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 13))
        .tests(50)
        .quickcheck(property as fn((u8, u8)) -> bool);
}

/// Everything fails and every request is retried. The retries would double
/// the load on what is left.
#[test]
fn withdraw_never_above_budget() {
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

/// The account with the most waiting is also the more urgent one. Shedding by
/// length alone would refuse a dispatch so that a catalogue listing may wait.
#[test]
fn enter_queue_full_two_accounts() {
    let now = Instant::now();
    let settings = AdmissionSettings {
        queue: 2,
        ..AdmissionSettings::default()
    };
    let mut admission = Admission::new(settings);
    let urgent = admission.insert(AccountLimits::default(), now);
    let idle = admission.insert(AccountLimits::default(), now);
    for _ in 0..2 {
        let admitted = admission.submit(now, urgent, 1, 2, now + LONG);
        assert!(matches!(admitted, AdmissionDecision::Queued(_)));
    }
    let admitted = admission.submit(now, idle, 1, 1, now + LONG);
    assert!(matches!(admitted, AdmissionDecision::Refused(r) if r.reason == RefusalReason::Shed));
}
