//! The choice of target.

use std::time::{Duration, Instant};

use quickcheck::{Gen, QuickCheck};
use rand::{SeedableRng, rngs::SmallRng};
use route::{
    AttemptResult, PlacementRequest, Pool, PoolSettings, Prefix, RankLoadReport, StartState,
    Suspicion, TargetKey, TargetLoadReport, TargetStatus,
};

const NEAR: Duration = Duration::from_millis(1);

fn pool_of(count: usize, now: Instant) -> (Pool, Vec<TargetKey>) {
    let tuning = PoolSettings {
        slow_start: Duration::ZERO,
        ..PoolSettings::default()
    };
    let mut pool = Pool::new(tuning);
    let keys = (0..count).map(|i| {
        let key = pool.insert(&format!("t{i}"), NEAR, StartState::Cold, now);
        pool.set_status(key, TargetStatus::Ready);
        key
    });
    let keys = keys.collect();
    (pool, keys)
}

fn report(taken_at: Instant, queued_tokens: u32, step_ms: u64) -> TargetLoadReport {
    TargetLoadReport {
        taken_at,
        limit: 64,
        queued: 0,
        ranks: vec![RankLoadReport {
            rank: 0,
            running: 0,
            queued_tokens,
            kv_used_permille: 0,
            step: Duration::from_millis(step_ms),
        }],
    }
}

#[test]
fn choose_least_queued() {
    let now = Instant::now();
    let (mut pool, keys) = pool_of(3, now);
    pool.report(keys[0], &report(now, 9000, 25));
    pool.report(keys[1], &report(now, 10, 25));
    pool.report(keys[2], &report(now, 9000, 25));
    let mut rng = SmallRng::seed_from_u64(1);
    let choice = pool
        .choose(now, &PlacementRequest::of_tokens(100), &mut rng)
        .unwrap();
    assert_eq!(choice.target, keys[1]);
}

/// A report arrives after many requests were sent on the strength of an older
/// one. Were it taken at its word, the herd would run to one target and its
/// callers would wait.
#[test]
fn choose_counts_own_starts_since_report() {
    let now = Instant::now();
    let (mut pool, keys) = pool_of(2, now);
    let mut rng = SmallRng::seed_from_u64(1);
    let demand = PlacementRequest::of_tokens(1000);
    pool.report(keys[1], &report(now, 3000, 25));
    let mut sent = [0, 0];
    for i in 0..20 {
        let at = now + Duration::from_millis(i);
        let choice = pool.choose(at, &demand, &mut rng).unwrap();
        pool.start(at, &choice, &demand);
        sent[usize::from(choice.target == keys[1])] += 1;
    }
    assert!(sent[0] > sent[1] && sent[1] >= 7, "{sent:?}");
}

/// One rank of a group is slow; as the slowest sets the step, sending it more
/// holds back each request of the group.
#[test]
fn choose_rank_least_loaded() {
    let now = Instant::now();
    let (mut pool, keys) = pool_of(1, now);
    let mut load = report(now, 500, 25);
    load.ranks.push(RankLoadReport {
        rank: 1,
        step: Duration::from_millis(25),
        ..RankLoadReport::default()
    });
    pool.report(keys[0], &load);
    let mut rng = SmallRng::seed_from_u64(1);
    let choice = pool
        .choose(now, &PlacementRequest::of_tokens(100), &mut rng)
        .unwrap();
    assert_eq!(choice.rank, 1);
}

/// A target fails each request at once and so looks idle. Without ejection it
/// would draw most of the traffic.
#[test]
fn end_failures_eject() {
    let now = Instant::now();
    let (mut pool, keys) = pool_of(3, now);
    let mut rng = SmallRng::seed_from_u64(1);
    let demand = PlacementRequest::of_tokens(10);
    for _ in 0..200 {
        let Some(choice) = pool.choose(now, &demand, &mut rng) else {
            break;
        };
        let attempt = pool.start(now, &choice, &demand);
        let ending = if choice.target == keys[0] {
            AttemptResult::Failed
        } else {
            AttemptResult::Completed
        };
        pool.end(now, attempt, ending);
    }
    for _ in 0..50 {
        let choice = pool.choose(now, &demand, &mut rng).unwrap();
        assert_ne!(choice.target, keys[0]);
    }
}

/// A switch near the entry fails, and each target seems to. Ejecting all of
/// them would turn a disturbance into an outage.
#[test]
fn end_failures_everywhere() {
    let now = Instant::now();
    let (mut pool, _) = pool_of(3, now);
    let mut rng = SmallRng::seed_from_u64(1);
    let demand = PlacementRequest::of_tokens(10);
    for _ in 0..100 {
        let choice = pool.choose(now, &demand, &mut rng).unwrap();
        let attempt = pool.start(now, &choice, &demand);
        pool.end(now, attempt, AttemptResult::Failed);
    }
}

/// A target stalls and its last good report stays. Attempts that wait there
/// tell sooner; without that, callers queue behind it.
#[test]
fn choose_overdue_target() {
    let now = Instant::now();
    let (mut pool, keys) = pool_of(2, now);
    let mut rng = SmallRng::seed_from_u64(1);
    let demand = PlacementRequest::of_tokens(10);
    pool.report(keys[1], &report(now, 2000, 25));
    let stalled = pool.choose(now, &demand, &mut rng).unwrap();
    assert_eq!(stalled.target, keys[0]);
    pool.start(now, &stalled, &demand);
    let later = now + Duration::from_secs(5);
    for _ in 0..20 {
        let choice = pool.choose(later, &demand, &mut rng).unwrap();
        assert_ne!(choice.target, stalled.target);
        let attempt = pool.start(later, &choice, &demand);
        pool.answer_started(later, attempt);
    }
}

#[test]
fn choose_prefix_affinity() {
    let now = Instant::now();
    let (mut pool, _) = pool_of(40, now);
    let mut rng = SmallRng::seed_from_u64(1);
    let prefix = Prefix {
        hash: 77,
        tokens: 4000,
    };
    let demand = PlacementRequest {
        prefix: Some(prefix),
        ..PlacementRequest::of_tokens(4100)
    };
    let first = pool.choose(now, &demand, &mut rng).unwrap();
    let mut same = 0;
    for _ in 0..20 {
        let choice = pool.choose(now, &demand, &mut rng).unwrap();
        same += u32::from(choice.target == first.target);
        let attempt = pool.start(now, &choice, &demand);
        pool.answer_started(now + Duration::from_millis(60), attempt);
        pool.end(
            now + Duration::from_millis(60),
            attempt,
            AttemptResult::Completed,
        );
    }
    assert!(same >= 18, "{same}");
}

/// Two requests that may each crash a target run on the same one; its crash
/// could not tell which was at fault.
#[test]
fn choose_suspect_alone() {
    let now = Instant::now();
    let (mut pool, _) = pool_of(2, now);
    let mut rng = SmallRng::seed_from_u64(1);
    let demand = PlacementRequest {
        suspicion: Suspicion::Suspect,
        ..PlacementRequest::of_tokens(10)
    };
    let first = pool.choose(now, &demand, &mut rng).unwrap();
    pool.start(now, &first, &demand);
    let second = pool.choose(now, &demand, &mut rng).unwrap();
    assert_ne!(first.target, second.target);
    pool.start(now, &second, &demand);
    assert!(pool.choose(now, &demand, &mut rng).is_none());
    assert!(
        pool.choose(now, &PlacementRequest::of_tokens(10), &mut rng)
            .is_some()
    );
}

/// A restarted target has cold caches; with its full part of the traffic at
/// once, callers would wait behind one another's prefill.
#[test]
fn restarted_slow_start() {
    let now = Instant::now();
    let mut pool = Pool::new(PoolSettings::default());
    let key = pool.insert("t", NEAR, StartState::Cold, now);
    pool.set_status(key, TargetStatus::Ready);
    let later = now + Duration::from_mins(1);
    let full = pool.capacity(later).usable;
    pool.restarted(later, key);
    assert!(pool.capacity(later).usable < full / 5.0);
    let warm = pool.capacity(later + Duration::from_secs(10)).usable;
    assert!((warm - full).abs() < 1e-9);
}

#[test]
fn choose_random_operations() {
    fn property(steps: Vec<(u8, u8, u8)>, seed: u64) -> bool {
        let mut now = Instant::now();
        let (mut pool, keys) = pool_of(6, now);
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut standing = vec![TargetStatus::Ready; keys.len()];
        let mut running = Vec::new();
        for (what, which, amount) in steps {
            now += Duration::from_millis(u64::from(amount));
            let i = usize::from(which) % keys.len();
            match what % 6 {
                0 => {
                    let all = [
                        TargetStatus::Ready,
                        TargetStatus::Draining,
                        TargetStatus::Unavailable,
                    ];
                    standing[i] = all[usize::from(amount) % 3];
                    pool.set_status(keys[i], standing[i]);
                }
                1 => pool.report(keys[i], &report(now, u32::from(amount) * 50, 25)),
                2 => pool.restarted(now, keys[i]),
                3 if !running.is_empty() => {
                    let attempt = running.remove(usize::from(which) % running.len());
                    let all = [
                        AttemptResult::Completed,
                        AttemptResult::Failed,
                        AttemptResult::Full,
                        AttemptResult::Cancelled,
                    ];
                    pool.end(now, attempt, all[usize::from(amount) % 4]);
                }
                _ => {
                    let avoid = [keys[i]];
                    let demand = PlacementRequest {
                        avoid: &avoid,
                        ..PlacementRequest::of_tokens(u32::from(amount))
                    };
                    if let Some(choice) = pool.choose(now, &demand, &mut rng) {
                        let at = keys.iter().position(|k| *k == choice.target).unwrap();
                        if at == i || standing[at] != TargetStatus::Ready {
                            return false;
                        }
                        running.push(pool.start(now, &choice, &demand));
                    }
                }
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .tests(300)
        .quickcheck(property as fn(Vec<(u8, u8, u8)>, u64) -> bool);
}

/// Other entries have filled a target, and requests wait there. An entry that
/// counted only those that run would add its own to the queue, and its callers
/// would wait though other targets have places.
#[test]
fn places_with_requests_waiting() {
    let now = Instant::now();
    let (mut pool, keys) = pool_of(1, now);
    pool.set_share(keys[0], 0.25);
    let mut load = report(now, 0, 25);
    load.limit = 8;
    pool.report(keys[0], &load);
    assert!((pool.capacity(now).usable - 9.0).abs() < 1e-9);
    load.queued = 9;
    pool.report(keys[0], &load);
    // Its own part is left.
    assert!((pool.capacity(now).usable - 2.0).abs() < 1e-9);
}

/// A target is served by two entries, another one by forty. An entry that took the same
/// part of both would fill the second one far beyond its places, or leave most of the
/// first one idle.
#[test]
fn set_share_by_target() {
    let now = Instant::now();
    let (mut pool, keys) = pool_of(2, now);
    let mut load = report(now, 0, 25);
    load.limit = 40;
    load.ranks[0].running = 45;
    for key in &keys {
        pool.report(*key, &load);
    }
    pool.set_share(keys[0], 0.5);
    pool.set_share(keys[1], 0.025);
    // The parts of 45 places: 22 and 1.
    assert!((pool.capacity(now).usable - 23.0).abs() < 1e-9);
    assert!((pool.capacity(now).own_share - 21.0).abs() < 1e-9);
}

/// A target's only rank is number 2. One that it doesn't have looks idle; a
/// request sent there would be refused or run on the wrong rank.
#[test]
fn choose_rank_that_exists() {
    let now = Instant::now();
    let (mut pool, keys) = pool_of(1, now);
    let mut rng = SmallRng::seed_from_u64(1);
    let demand = PlacementRequest::of_tokens(10);
    pool.set_ranks(keys[0], &[2]);
    assert_eq!(pool.choose(now, &demand, &mut rng).unwrap().rank, 2);
    let mut load = report(now, 5000, 25);
    load.ranks[0].rank = 3;
    pool.report(keys[0], &load);
    assert_eq!(pool.choose(now, &demand, &mut rng).unwrap().rank, 3);
}

/// An entry is restarted. The targets were busy all along, and leaving their
/// places idle would refuse callers for nothing.
#[test]
fn insert_warm_full_places() {
    let now = Instant::now();
    let mut pool = Pool::new(PoolSettings::default());
    let key = pool.insert("t", NEAR, StartState::Warm, now);
    pool.set_status(key, TargetStatus::Ready);
    assert!(pool.capacity(now).usable >= 64.0);
}
