//! Order, bounds and predictions of the queue of waiting requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{
    Priority, QueueKey, QueueRefusalReason, QueuedRequest, RequestQueue, RequestQueueSettings,
};

const HINT: Priority = route(0);
const FEEDBACK: Priority = route(1);
const REVIEW: Priority = route(2);

const fn route(route: u32) -> Priority {
    Priority { account: 0, route }
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn queue() -> RequestQueue {
    RequestQueue::new(RequestQueueSettings::default())
}

fn small_queue(max_requests: usize) -> RequestQueue {
    RequestQueue::new(RequestQueueSettings {
        max_requests,
        ..RequestQueueSettings::default()
    })
}

/// A request that may wait for a minute.
fn request(priority: Priority, account: u64, now: Instant) -> QueuedRequest {
    QueuedRequest {
        priority,
        account,
        weight: 1.0,
        bytes: 100,
        on_time_until: Some(now + ms(400)),
        useful_until: now + ms(60_000),
    }
}

fn push(queue: &mut RequestQueue, priority: Priority, account: u64, now: Instant) -> QueueKey {
    queue.push(request(priority, account, now), now).unwrap()
}

fn push_many(queue: &mut RequestQueue, priority: Priority, count: usize, now: Instant) {
    for _ in 0..count {
        push(queue, priority, 1, now);
    }
}

/// Starts requests without waiting, 10 a second for two seconds, and returns the
/// time after that.
fn measure(queue: &mut RequestQueue, priority: Priority, mut now: Instant) -> Instant {
    for _ in 0..20 {
        queue.record_start(priority, 1, 1.0, now);
        now += ms(100);
    }
    now
}

/// Starts the next request and returns it.
fn start_next(queue: &mut RequestQueue, now: Instant) -> Option<QueuedRequest> {
    let key = queue.next(now)?;
    let request = *queue.get(key).unwrap();
    queue.start(key, now);
    Some(request)
}

fn assert_near(actual: Duration, expected: Duration) {
    let difference = actual.as_secs_f64() - expected.as_secs_f64();
    assert!(
        difference.abs() <= 0.1 * expected.as_secs_f64(),
        "{actual:?} {expected:?}"
    );
}

/// Guards against the priority of a route preceding that of an account.
#[test]
fn order_account_priority_first() {
    let now = Instant::now();
    let mut queue = queue();
    let priority = |account, route| Priority { account, route };
    let last = push(&mut queue, priority(1, 0), 1, now);
    let second = push(&mut queue, priority(0, 2), 1, now);
    let first = push(&mut queue, priority(0, 1), 1, now);
    assert_eq!(queue.order(now), [first, second, last]);
}

/// Guards against late requests making those late that could still be on time.
#[test]
fn order_late_last() {
    let now = Instant::now();
    let mut queue = queue();
    let mut push = |on_time: Option<u64>, useful: u64| {
        let on_time_until = on_time.map(|on_time| now + ms(on_time));
        let useful_until = now + ms(useful);
        let request = QueuedRequest {
            on_time_until,
            useful_until,
            ..request(HINT, 1, now)
        };
        queue.push(request, now).unwrap()
    };
    let late = [push(None, 5000), push(None, 4000)];
    let on_time = [push(Some(900), 6000), push(Some(100), 8000)];
    assert_eq!(queue.order(now), [on_time[1], on_time[0], late[1], late[0]]);
    let later = now + ms(101);
    assert_eq!(
        queue.order(later),
        [on_time[0], late[1], late[0], on_time[1]]
    );
}

/// Guards against late requests of one account that make on-time ones of another late.
#[test]
fn order_late_after_on_time_of_other_accounts() {
    let now = Instant::now();
    let mut queue = queue();
    let priority = Priority::default();
    let late = QueuedRequest {
        on_time_until: None,
        ..request(priority, 1, now)
    };
    let late = queue.push(late, now).unwrap();
    let on_time = QueuedRequest {
        on_time_until: Some(now + Duration::from_secs(1)),
        ..request(priority, 2, now)
    };
    let on_time: Vec<QueueKey> = (0..3).map(|_| queue.push(on_time, now).unwrap()).collect();
    let order = queue.order(now);
    assert_eq!(order[..3], on_time);
    assert_eq!(order[3], late);
}

/// Guards against reviews that take the last slots just before hints come, and against a
/// reserve where nothing more urgent arrives or none would be in time anyway.
#[test]
fn reserve_by_rates() {
    let (hint, review) = (
        Priority::default(),
        Priority {
            account: 0,
            route: 2,
        },
    );
    let reserve = |hints: u32, reviews: u32, slack: u64| {
        let mut now = Instant::now();
        let mut queue = queue();
        for _ in 0..20 {
            (0..hints).for_each(|_| queue.record_start(hint, 0, 1.0, now));
            (0..reviews).for_each(|_| queue.record_start(review, 0, 1.0, now));
            now += Duration::from_millis(100);
        }
        let slack = Duration::from_millis(slack);
        assert!(queue.reserve(hint, slack, now) < 1e-9);
        queue.reserve(review, slack, now)
    };
    assert!(reserve(0, 4, 200) < 1e-9);
    assert!(reserve(1, 2, 100) >= 1.0);
    assert!(reserve(2, 1, 100) > reserve(1, 2, 100));
    assert!(reserve(1, 2, 2_000) < 1e-9);
    assert!(reserve(3, 0, 200) <= 8.0);
}

/// Guards against an announced order that differs from the one of the starts, and
/// against requests that appear twice or never.
#[test]
fn order_same_as_starts() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut queue = queue();
        for _ in 0..rng.random_range(1..120) {
            now += ms(rng.random_range(0..20));
            let request = QueuedRequest {
                weight: f64::from(rng.random_range(1..5)),
                on_time_until: rng
                    .random_bool(0.7)
                    .then(|| now + ms(rng.random_range(0..900))),
                useful_until: now + ms(rng.random_range(1..9000)),
                ..request(route(rng.random_range(0..4)), rng.random_range(0..6), now)
            };
            let _ = queue.push(request, now);
            if rng.random_bool(0.3) {
                start_next(&mut queue, now);
            }
        }
        let order = queue.order(now);
        let mut started = Vec::new();
        while let Some(key) = queue.next(now) {
            queue.start(key, now);
            started.push(key);
        }
        assert_eq!(order, started, "seed {seed}");
        queue.refuse_unservable(now);
        assert!(queue.is_empty(), "seed {seed}");
    }
}

/// Guards against a heavy account getting no more than a light one, and against
/// a flood of one account delaying the other.
#[test]
fn start_shares_by_weight() {
    let now = Instant::now();
    let mut queue = queue();
    let mut starts = [0.0; 2];
    for (account, waiting) in [(0, 150), (1, 120)] {
        let weight = if account == 0 { 1.0 } else { 3.0 };
        let request = QueuedRequest {
            weight,
            ..request(HINT, account, now)
        };
        for _ in 0..waiting {
            queue.push(request, now).unwrap();
        }
    }
    for _ in 0..120 {
        let request = start_next(&mut queue, now).unwrap();
        starts[usize::try_from(request.account).unwrap()] += 1.0;
    }
    let ratio = starts[1] / starts[0];
    assert!((2.7..3.3).contains(&ratio), "{starts:?}");
}

/// Guards against an account that was idle starting many requests in a row.
#[test]
fn start_idle_account_has_no_credit() {
    let now = Instant::now();
    let mut queue = queue();
    push_many(&mut queue, HINT, 100, now);
    for _ in 0..50 {
        start_next(&mut queue, now);
    }
    for _ in 0..50 {
        push(&mut queue, HINT, 2, now);
    }
    let mut idle_first = 0;
    for _ in 0..20 {
        idle_first += u32::from(start_next(&mut queue, now).unwrap().account == 2);
    }
    assert!((9..=11).contains(&idle_first), "{idle_first} of 20");
}

/// Guards against starts out of turn erasing what the waiting accounts are owed.
#[test]
fn start_out_of_turn_keeps_credit() {
    let now = Instant::now();
    let mut queue = queue();
    push_many(&mut queue, HINT, 20, now);
    for _ in 0..10 {
        queue.record_start(HINT, 2, 1.0, now);
    }
    push(&mut queue, HINT, 2, now);
    push(&mut queue, HINT, 3, now);
    let accounts: Vec<u64> = (0..12)
        .map(|_| start_next(&mut queue, now).unwrap().account)
        .collect();
    assert_eq!(accounts.iter().position(|account| *account == 3), Some(1));
    assert_eq!(accounts.iter().position(|account| *account == 2), Some(11));
}

/// Guards against starts of urgent requests erasing the differences between the
/// accounts of less urgent ones.
#[test]
fn start_shares_by_weight_below_urgent() {
    let now = Instant::now();
    let mut queue = queue();
    let mut starts = BTreeMap::new();
    for _ in 0..90 {
        for account in [1, 2] {
            let weight = if account == 1 { 1.0 } else { 3.0 };
            let request = QueuedRequest {
                weight,
                ..request(REVIEW, account, now)
            };
            queue.push(request, now).unwrap();
        }
        push(&mut queue, HINT, 1, now);
        start_next(&mut queue, now);
        *starts
            .entry(start_next(&mut queue, now).unwrap().account)
            .or_insert(0.0) += 1.0;
    }
    let ratio = starts[&2] / starts[&1];
    assert!((2.7..3.3).contains(&ratio), "{starts:?}");
}

/// Guards against urgent requests that take all starts. The less urgent ones get
/// their share, of all priorities.
#[test]
fn start_background_share() {
    let mut now = Instant::now();
    let mut queue = queue();
    let mut starts = BTreeMap::new();
    for _ in 0..50 {
        push(&mut queue, FEEDBACK, 1, now);
        push(&mut queue, REVIEW, 1, now);
    }
    for _ in 0..500 {
        push(&mut queue, HINT, 1, now);
        let request = start_next(&mut queue, now).unwrap();
        *starts.entry(request.priority).or_insert(0) += 1;
        now += ms(10);
    }
    assert_eq!(
        starts,
        BTreeMap::from([(HINT, 450), (FEEDBACK, 25), (REVIEW, 25)])
    );
}

/// Guards against the least urgent requests starving behind those in the middle,
/// which take the rest of the starts but not all of them.
#[test]
fn start_background_share_of_least_urgent() {
    let mut now = Instant::now();
    let mut queue = queue();
    push_many(&mut queue, REVIEW, 100, now);
    let mut reviews = 0;
    for i in 0..500 {
        push(&mut queue, if i % 5 < 2 { HINT } else { FEEDBACK }, 1, now);
        reviews += u32::from(start_next(&mut queue, now).unwrap().priority == REVIEW);
        now += ms(10);
    }
    assert!((48..=52).contains(&reviews), "{reviews} of 500");
}

/// Guards against many less urgent requests preceding all others because they
/// were owed starts while none of them waited.
#[test]
fn start_background_no_credit() {
    let now = Instant::now();
    let mut queue = queue();
    for _ in 0..1000 {
        queue.record_start(HINT, 1, 1.0, now);
    }
    push_many(&mut queue, REVIEW, 5, now);
    push_many(&mut queue, HINT, 9, now);
    for _ in 0..9 {
        assert_eq!(start_next(&mut queue, now).unwrap().priority, HINT);
    }
}

/// Guards against urgent requests that never queue taking all starts, and against
/// them waiting although nobody precedes them.
#[test]
fn has_precedence_until_background_is_due() {
    let now = Instant::now();
    let mut queue = queue();
    assert!(queue.has_precedence(REVIEW, now));
    push_many(&mut queue, REVIEW, 2, now);
    assert!(!queue.has_precedence(REVIEW, now));
    assert!(!queue.has_precedence(route(3), now));
    let mut starts = 0;
    while queue.has_precedence(HINT, now) {
        queue.record_start(HINT, 1, 1.0, now);
        starts += 1;
    }
    assert_eq!(starts, 9);
    assert_eq!(start_next(&mut queue, now).unwrap().priority, REVIEW);
    assert!(queue.has_precedence(HINT, now));
    for _ in 0..8 {
        queue.record_start(HINT, 1, 1.0, now);
    }
    let later = now + ms(2000);
    queue.record_start(HINT, 1, 1.0, later);
    assert!(
        queue.has_precedence(HINT, later),
        "only recent starts count"
    );
}

/// Guards against a full queue refusing urgent requests, and against displaced
/// ones that nobody is told of.
#[test]
fn push_full_displaces_least_urgent() {
    let now = Instant::now();
    let mut queue = small_queue(4);
    push(&mut queue, HINT, 1, now);
    push(&mut queue, REVIEW, 1, now);
    push(&mut queue, REVIEW, 2, now);
    let heavy = push(&mut queue, REVIEW, 2, now);
    assert_eq!(queue.next_check(now), Some(now), "the first prediction");
    push(&mut queue, FEEDBACK, 3, now);
    assert_eq!(queue.next_check(now), Some(now));
    let refused = queue.refuse_unservable(now);
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].0, heavy);
    assert_eq!(refused[0].1.reason, QueueRefusalReason::Displaced);
    assert!(refused[0].1.retry_after >= ms(50));
    assert_eq!(queue.len(), 4);
    let error = queue.push(request(route(3), 4, now), now).unwrap_err();
    assert_eq!(error.reason, QueueRefusalReason::Full);
}

/// Guards against an account that fills the queue keeping out others of the same
/// priority, and against accounts displacing each other in turn.
#[test]
fn push_full_displaces_heaviest_account() {
    let now = Instant::now();
    let mut queue = RequestQueue::new(RequestQueueSettings {
        max_requests: 9,
        account_share: 1.0,
        ..RequestQueueSettings::default()
    });
    push_many(&mut queue, HINT, 9, now);
    let others = [(); 4].map(|()| push(&mut queue, HINT, 2, now));
    assert!(others.iter().all(|key| queue.get(*key).is_some()));
    for account in [2, 1] {
        let error = queue.push(request(HINT, account, now), now).unwrap_err();
        assert_eq!(error.reason, QueueRefusalReason::Full);
    }
    assert_eq!(queue.refuse_unservable(now).len(), 4);
}

/// Guards against displacing a request that can be on time while one waits that
/// is late.
#[test]
fn push_full_displaces_late() {
    let now = Instant::now();
    let mut queue = small_queue(2);
    let late = QueuedRequest {
        on_time_until: None,
        useful_until: now + ms(1000),
        ..request(REVIEW, 1, now)
    };
    let late = queue.push(late, now).unwrap();
    push(&mut queue, REVIEW, 1, now);
    push(&mut queue, HINT, 1, now);
    assert_eq!(queue.refuse_unservable(now)[0].0, late);
}

/// Guards against memory that displaced requests use while the caller does not
/// collect them.
#[test]
fn push_full_bounds_displaced() {
    let now = Instant::now();
    let mut queue = small_queue(2);
    for priority in [REVIEW, FEEDBACK] {
        push_many(&mut queue, priority, 2, now);
    }
    assert!(queue.push(request(HINT, 1, now), now).is_err());
    assert_eq!(queue.refuse_unservable(now).len(), 2);
    push(&mut queue, HINT, 1, now);
}

/// Guards against memory that large requests use without bound.
#[test]
fn push_bounds_bytes() {
    let now = Instant::now();
    let settings = RequestQueueSettings {
        max_bytes: 1000,
        ..RequestQueueSettings::default()
    };
    let mut queue = RequestQueue::new(settings);
    let sized = |priority, bytes| QueuedRequest {
        bytes,
        ..request(priority, 1, now)
    };
    for _ in 0..4 {
        queue.push(sized(REVIEW, 250), now).unwrap();
    }
    for bytes in [1001, usize::MAX] {
        let error = queue.push(sized(HINT, bytes), now).unwrap_err();
        assert_eq!(error.reason, QueueRefusalReason::Full);
    }
    assert_eq!(queue.len(), 4, "nothing is displaced in vain");
    queue.push(sized(HINT, 600), now).unwrap();
    assert_eq!(queue.len(), 2);
}

/// Guards against one account keeping out others, and against limiting an account
/// that is alone.
#[test]
fn push_limits_account_share() {
    let now = Instant::now();
    let mut queue = small_queue(16);
    push_many(&mut queue, FEEDBACK, 9, now);
    push(&mut queue, FEEDBACK, 2, now);
    let error = queue.push(request(FEEDBACK, 1, now), now).unwrap_err();
    assert_eq!(error.reason, QueueRefusalReason::AccountShare);
    push(&mut queue, FEEDBACK, 2, now);
}

/// Guards against holding requests that cannot be served, and against refusing
/// those of one account because another floods the queue.
#[test]
fn push_refuses_unservable() {
    let mut queue = queue();
    let now = measure(&mut queue, HINT, Instant::now());
    push_many(&mut queue, HINT, 20, now);
    assert_near(queue.predicted_wait(HINT, now), ms(2000));
    let short = |account| QueuedRequest {
        useful_until: now + ms(1000),
        on_time_until: None,
        ..request(HINT, account, now)
    };
    let error = queue.push(short(1), now).unwrap_err();
    assert_eq!(error.reason, QueueRefusalReason::Unservable);
    assert_near(error.retry_after, ms(2000));
    assert!(queue.push(short(2), now).is_ok());
}

/// Guards against refusing requests on no evidence.
#[test]
fn push_unmeasured_waits() {
    let now = Instant::now();
    let mut queue = queue();
    push_many(&mut queue, HINT, 100, now);
    assert_eq!(queue.predicted_wait(REVIEW, now), Duration::ZERO);
    assert!(queue.refuse_unservable(now).is_empty());
}

/// Guards against predictions that leave out the urgent requests to come, and
/// against ones that leave out the background share.
#[test]
fn predicted_wait_less_urgent() {
    let mut queue = queue();
    let mut now = Instant::now();
    for i in 0..20 {
        queue.record_start(if i % 2 == 0 { HINT } else { REVIEW }, 1, 1.0, now);
        now += ms(100);
    }
    push_many(&mut queue, REVIEW, 5, now);
    assert_near(queue.predicted_wait(REVIEW, now), ms(1000));
    assert_eq!(queue.predicted_wait(HINT, now), Duration::ZERO);
    // Of 10 starts a second, one is for reviews.
    let now = measure(&mut queue, HINT, now);
    assert_near(queue.predicted_wait(REVIEW, now), ms(5000));
    push_many(&mut queue, HINT, 100, now);
    assert_near(queue.predicted_wait(REVIEW, now), ms(5000));
}

/// Guards against holding requests that can no longer be served, and against
/// noise refusing those that nearly can.
#[test]
fn refuse_unservable_with_hysteresis() {
    let mut queue = queue();
    let now = measure(&mut queue, HINT, Instant::now());
    let mut keys = Vec::new();
    for _ in 0..20 {
        let request = QueuedRequest {
            useful_until: now + ms(2100),
            ..request(HINT, 1, now)
        };
        keys.push(queue.push(request, now).unwrap());
    }
    // The last of them has 1.8 s left. At the rate of 8.5/s, it waits for 2.2 s.
    assert!(queue.refuse_unservable(now + ms(300)).is_empty());
    // No request starts for a second, which halves the rate.
    let later = now + ms(1000);
    assert!(queue.next_check(now + ms(300)).unwrap() <= later);
    let refused = queue.refuse_unservable(later);
    assert!((9..=13).contains(&refused.len()), "{}", refused.len());
    for (key, refusal) in refused {
        assert_eq!(refusal.reason, QueueRefusalReason::Unservable);
        assert!(refusal.retry_after > ms(1100));
        assert!(keys[7..].contains(&key), "the first ones stay");
    }
}

/// Guards against starting requests whose callers have left, and against waiting
/// past `next_check` with refusing them.
#[test]
fn refuse_unservable_expired() {
    let now = Instant::now();
    let mut queue = queue();
    let useful_until = now + ms(30);
    let short = QueuedRequest {
        useful_until,
        ..request(HINT, 1, now)
    };
    let key = queue.push(short, now).unwrap();
    assert!(queue.refuse_unservable(now).is_empty());
    assert_eq!(queue.next_check(now), Some(useful_until));
    assert_eq!(queue.next(useful_until), None);
    let refused = queue.refuse_unservable(useful_until);
    assert_eq!((refused.len(), refused[0].0), (1, key));
    assert_eq!(refused[0].1.reason, QueueRefusalReason::Expired);
    assert_eq!(queue.next_check(useful_until), None);
}

/// Guards against an outage erasing the rate of starts, against refusing requests
/// that can wait through it, and against holding those that cannot.
#[test]
fn set_paused_keeps_rate() {
    let mut queue = queue();
    let now = measure(&mut queue, HINT, Instant::now());
    push_many(&mut queue, HINT, 10, now);
    let paused = now + ms(500);
    queue.set_paused(Some(paused + ms(3000)));
    assert_near(queue.predicted_wait(HINT, paused), ms(4000));
    assert_near(queue.predicted_wait(HINT, paused + ms(2500)), ms(1500));
    let useful_until = paused + ms(2000);
    let short = QueuedRequest {
        useful_until,
        ..request(HINT, 2, paused)
    };
    let error = queue.push(short, paused).unwrap_err();
    assert_eq!(error.reason, QueueRefusalReason::Unservable);
    assert_near(error.retry_after, ms(3000));

    let back = paused + ms(10_000);
    queue.refuse_unservable(back);
    assert_near(queue.predicted_wait(HINT, back), ms(1000));
    queue.set_paused(None);
    assert_near(queue.predicted_wait(HINT, back), ms(1000));
    start_next(&mut queue, back);
    push(&mut queue, HINT, 1, back);
    assert_near(queue.predicted_wait(HINT, back + ms(100)), ms(1000));
    assert_eq!(queue.len(), 10);
}

/// Guards against predicting from the rate of a time long before an outage.
#[test]
fn set_paused_after_idle_time() {
    let mut queue = queue();
    let now = measure(&mut queue, HINT, Instant::now()) + ms(60_000);
    push_many(&mut queue, HINT, 10, now);
    queue.set_paused(Some(now + ms(3000)));
    assert_eq!(queue.predicted_wait(HINT, now), ms(3000));
}

/// Guards against a queue that stays paused because its outage ended unnoticed.
#[test]
fn set_paused_ends_with_start() {
    let mut queue = queue();
    let now = measure(&mut queue, HINT, Instant::now());
    queue.set_paused(Some(now + ms(1000)));
    let mut now = now + ms(1000);
    for _ in 0..100 {
        queue.record_start(HINT, 1, 1.0, now);
        now += ms(20);
    }
    push_many(&mut queue, HINT, 50, now);
    assert_near(queue.predicted_wait(HINT, now), ms(1000));
}

/// Guards against a removed request starting or being refused.
#[test]
fn remove_any_state() {
    let now = Instant::now();
    let mut queue = small_queue(1);
    let displaced = push(&mut queue, REVIEW, 1, now);
    let waiting = push(&mut queue, HINT, 1, now);
    for key in [displaced, waiting, waiting, QueueKey::default()] {
        queue.remove(key);
        queue.start(key, now);
    }
    assert!(queue.refuse_unservable(now).is_empty());
    assert!(queue.is_empty());
    assert_eq!(queue.next_check(now), None);
    assert!(queue.has_precedence(REVIEW, now));
}

/// Guards against panics, overflows and broken bounds with any input.
#[test]
fn push_odd_input() {
    let weights = [
        0.0,
        -1.0,
        f64::NAN,
        f64::INFINITY,
        f64::NEG_INFINITY,
        1e-300,
        1e300,
    ];
    let shares = [0.0, 1.0, -3.0, 7.0, f64::NAN, f64::INFINITY];
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut pick = |options: &[f64]| options[rng.random_range(0..options.len())];
        let mut queue = RequestQueue::new(RequestQueueSettings {
            max_requests: usize::try_from(seed % 20).unwrap(),
            max_bytes: if seed % 3 == 0 { usize::MAX } else { 1000 },
            account_share: pick(&shares),
            background_share: pick(&shares),
        });
        let mut now = Instant::now();
        let far = now.checked_add(Duration::from_secs(1 << 40)).unwrap();
        for _ in 0..200 {
            let numbers = [0, 1, 2, u32::MAX];
            let number = |rng: &mut SmallRng| numbers[rng.random_range(0..4)];
            let priority = Priority {
                account: number(&mut rng),
                route: number(&mut rng),
            };
            let times = [now, far, now + ms(rng.random_range(0..300))];
            let request = QueuedRequest {
                priority,
                account: u64::from(number(&mut rng)),
                weight: weights[rng.random_range(0..weights.len())],
                bytes: [0, 100, usize::MAX][rng.random_range(0..3)],
                on_time_until: Some(times[rng.random_range(0..3)]),
                useful_until: times[rng.random_range(0..3)],
            };
            match rng.random_range(0..8) {
                0..4 => drop(queue.push(request, now)),
                4 => queue.record_start(priority, request.account, request.weight, now),
                5 => queue.set_paused(rng.random_bool(0.5).then_some(request.useful_until)),
                6 => drop(start_next(&mut queue, now)),
                _ => now += ms(rng.random_range(0..200)),
            }
            let waits = [
                queue.predicted_wait(priority, now),
                queue.predicted_wait(HINT, now),
            ];
            assert!(
                waits.iter().all(|wait| *wait <= Duration::from_hours(1)),
                "{waits:?}"
            );
            assert!(queue.len() <= usize::try_from(seed % 20).unwrap());
            assert!(queue.order(now).len() <= queue.len());
            for (_, refusal) in queue.refuse_unservable(now) {
                assert!(refusal.retry_after >= ms(50));
            }
        }
        queue.refuse_unservable(far);
        assert!(queue.is_empty(), "seed {seed}");
    }
}
