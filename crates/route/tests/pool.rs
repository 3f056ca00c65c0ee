//! Choice of a target in a pool.

use std::time::{Duration, Instant};

use quickcheck::{Gen, QuickCheck};
use rand::{SeedableRng, rngs::SmallRng};
use route::{
    AttemptResult, PlacementRequest, Pool, PoolSettings, Prefix, RankLoadReport, StartState,
    Suspicion, TargetKey, TargetLoadReport, TargetStatus,
};

const DISTANCE: Duration = Duration::from_millis(1);

fn pool_of(count: usize, now: Instant) -> (Pool, Vec<TargetKey>) {
    let settings = PoolSettings {
        slow_start: Duration::ZERO,
        ..PoolSettings::default()
    };
    let mut pool = Pool::new(settings);
    let keys = (0..count).map(|i| {
        let key = pool.insert(&format!("t{i}"), DISTANCE, StartState::Cold, now);
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
fn choose_prefers_least_queued_target() {
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

/// Guards against herding: many requests are sent on the basis of one report, and
/// without counting them all would go to the same target.
#[test]
fn choose_counts_own_starts_since_report() {
    let now = Instant::now();
    let (mut pool, keys) = pool_of(2, now);
    let mut rng = SmallRng::seed_from_u64(1);
    let request = PlacementRequest::of_tokens(1000);
    pool.report(keys[1], &report(now, 3000, 25));
    let mut sent = [0, 0];
    for i in 0..20 {
        let at = now + Duration::from_millis(i);
        let choice = pool.choose(at, &request, &mut rng).unwrap();
        pool.start(at, &choice, &request);
        sent[usize::from(choice.target == keys[1])] += 1;
    }
    assert!(sent[0] > sent[1] && sent[1] >= 7, "{sent:?}");
}

/// Guards against sending more requests to the most loaded rank. The slowest rank
/// determines the step time of its whole group.
#[test]
fn choose_prefers_least_loaded_rank() {
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

/// Guards against a target that fails every request immediately. It looks idle, so
/// without ejection it would attract most of the traffic.
#[test]
fn end_ejects_failing_target() {
    let now = Instant::now();
    let (mut pool, keys) = pool_of(3, now);
    let mut rng = SmallRng::seed_from_u64(1);
    let request = PlacementRequest::of_tokens(10);
    for _ in 0..200 {
        let Some(choice) = pool.choose(now, &request, &mut rng) else {
            break;
        };
        let attempt = pool.start(now, &choice, &request);
        let ending = if choice.target == keys[0] {
            AttemptResult::Failed
        } else {
            AttemptResult::Completed
        };
        pool.end(now, attempt, ending);
    }
    for _ in 0..50 {
        let choice = pool.choose(now, &request, &mut rng).unwrap();
        assert_ne!(choice.target, keys[0]);
    }
}

/// Guards against ejecting all targets. A network fault near the entry looks like
/// a failure of every target.
#[test]
fn end_keeps_targets_when_all_fail() {
    let now = Instant::now();
    let (mut pool, _) = pool_of(3, now);
    let mut rng = SmallRng::seed_from_u64(1);
    let request = PlacementRequest::of_tokens(10);
    for _ in 0..100 {
        let choice = pool.choose(now, &request, &mut rng).unwrap();
        let attempt = pool.start(now, &choice, &request);
        pool.end(now, attempt, AttemptResult::Failed);
    }
}

/// Guards against sending requests to a stalled target, whose last report still
/// looks good. Attempts that wait there for their first token reveal the stall.
#[test]
fn choose_avoids_overdue_target() {
    let now = Instant::now();
    let (mut pool, keys) = pool_of(2, now);
    let mut rng = SmallRng::seed_from_u64(1);
    let request = PlacementRequest::of_tokens(10);
    pool.report(keys[1], &report(now, 2000, 25));
    let stalled = pool.choose(now, &request, &mut rng).unwrap();
    assert_eq!(stalled.target, keys[0]);
    pool.start(now, &stalled, &request);
    let later = now + Duration::from_secs(5);
    for _ in 0..20 {
        let choice = pool.choose(later, &request, &mut rng).unwrap();
        assert_ne!(choice.target, stalled.target);
        let attempt = pool.start(later, &choice, &request);
        pool.answer_started(later, attempt);
    }
}

#[test]
fn choose_keeps_prefix_affinity() {
    let now = Instant::now();
    let (mut pool, _) = pool_of(40, now);
    let mut rng = SmallRng::seed_from_u64(1);
    let prefix = Prefix {
        hash: 77,
        tokens: 4000,
    };
    let request = PlacementRequest {
        prefix: Some(prefix),
        ..PlacementRequest::of_tokens(4100)
    };
    let first = pool.choose(now, &request, &mut rng).unwrap();
    let mut same = 0;
    for _ in 0..20 {
        let choice = pool.choose(now, &request, &mut rng).unwrap();
        same += u32::from(choice.target == first.target);
        let attempt = pool.start(now, &choice, &request);
        pool.answer_started(now + Duration::from_millis(60), attempt);
        pool.end(
            now + Duration::from_millis(60),
            attempt,
            AttemptResult::Completed,
        );
    }
    assert!(same >= 18, "{same}");
}

/// Guards against running two suspects on the same target, whose crash would not
/// show which of them was at fault.
#[test]
fn choose_isolates_suspects() {
    let now = Instant::now();
    let (mut pool, _) = pool_of(2, now);
    let mut rng = SmallRng::seed_from_u64(1);
    let request = PlacementRequest {
        suspicion: Suspicion::Suspect,
        ..PlacementRequest::of_tokens(10)
    };
    let first = pool.choose(now, &request, &mut rng).unwrap();
    pool.start(now, &first, &request);
    let second = pool.choose(now, &request, &mut rng).unwrap();
    assert_ne!(first.target, second.target);
    pool.start(now, &second, &request);
    assert!(pool.choose(now, &request, &mut rng).is_none());
    assert!(
        pool.choose(now, &PlacementRequest::of_tokens(10), &mut rng)
            .is_some()
    );
}

/// Guards against sending a restarted target its full share of the traffic. Its
/// caches are cold, so requests would queue for prefill.
#[test]
fn restarted_ramps_up_slowly() {
    let now = Instant::now();
    let mut pool = Pool::new(PoolSettings::default());
    let key = pool.insert("t", DISTANCE, StartState::Cold, now);
    pool.set_status(key, TargetStatus::Ready);
    let later = now + Duration::from_mins(1);
    let full = pool.capacity(later).usable;
    pool.restarted(later, key);
    assert!(pool.capacity(later).usable < full / 5.0);
    let warm = pool.capacity(later + Duration::from_secs(10)).usable;
    assert!((warm - full).abs() < 1e-9);
}

#[test]
fn choose_invariants_under_random_operations() {
    fn property(steps: Vec<(u8, u8, u8)>, seed: u64) -> bool {
        let mut now = Instant::now();
        let (mut pool, keys) = pool_of(6, now);
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut status = vec![TargetStatus::Ready; keys.len()];
        let mut running = Vec::new();
        for (operation, index, amount) in steps {
            now += Duration::from_millis(u64::from(amount));
            let i = usize::from(index) % keys.len();
            match operation % 6 {
                0 => {
                    let all = [
                        TargetStatus::Ready,
                        TargetStatus::Draining,
                        TargetStatus::Unavailable,
                    ];
                    status[i] = all[usize::from(amount) % 3];
                    pool.set_status(keys[i], status[i]);
                }
                1 => pool.report(keys[i], &report(now, u32::from(amount) * 50, 25)),
                2 => pool.restarted(now, keys[i]),
                3 if !running.is_empty() => {
                    let attempt = running.remove(usize::from(index) % running.len());
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
                    let request = PlacementRequest {
                        avoid: &avoid,
                        ..PlacementRequest::of_tokens(u32::from(amount))
                    };
                    if let Some(choice) = pool.choose(now, &request, &mut rng) {
                        let at = keys.iter().position(|k| *k == choice.target).unwrap();
                        if at == i || status[at] != TargetStatus::Ready {
                            return false;
                        }
                        running.push(pool.start(now, &choice, &request));
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

/// Guards against counting only the running requests of a target that other
/// entries have filled. Requests would be queued there although other targets have
/// free slots.
#[test]
fn capacity_counts_queued_requests() {
    let now = Instant::now();
    let (mut pool, keys) = pool_of(1, now);
    pool.set_share(keys[0], 0.25);
    let mut load = report(now, 0, 25);
    load.limit = 8;
    pool.report(keys[0], &load);
    assert!((pool.capacity(now).usable - 9.0).abs() < 1e-9);
    load.queued = 9;
    pool.report(keys[0], &load);
    // Only its own share is left.
    assert!((pool.capacity(now).usable - 2.0).abs() < 1e-9);
}

/// Guards against using one share for all targets. If one target is used by two entries
/// and another by forty, the same share would overload the second or leave most of the
/// first idle.
#[test]
fn set_share_is_per_target() {
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
    // The shares of 45 slots: 22 and 1.
    assert!((pool.capacity(now).usable - 23.0).abs() < 1e-9);
    assert!((pool.capacity(now).own_share - 21.0).abs() < 1e-9);
}

/// Guards against choosing a rank that the target does not have. Such a rank looks
/// idle, and a request sent there would be refused or run on the wrong rank.
#[test]
fn choose_only_existing_ranks() {
    let now = Instant::now();
    let (mut pool, keys) = pool_of(1, now);
    let mut rng = SmallRng::seed_from_u64(1);
    let request = PlacementRequest::of_tokens(10);
    pool.set_ranks(keys[0], &[2]);
    assert_eq!(pool.choose(now, &request, &mut rng).unwrap().rank, 2);
    let mut load = report(now, 5000, 25);
    load.ranks[0].rank = 3;
    pool.report(keys[0], &load);
    assert_eq!(pool.choose(now, &request, &mut rng).unwrap().rank, 3);
}

/// Guards against a slow start of warm targets after a restart of the entry, which
/// would refuse callers while slots are idle.
#[test]
fn insert_warm_target_has_full_capacity() {
    let now = Instant::now();
    let mut pool = Pool::new(PoolSettings::default());
    let key = pool.insert("t", DISTANCE, StartState::Warm, now);
    pool.set_status(key, TargetStatus::Ready);
    assert!(pool.capacity(now).usable >= 64.0);
}
