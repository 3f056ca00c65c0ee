//! The cost of one choice, by the number of targets.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::{
    AttemptResult, PlacementRequest, Pool, PoolSettings, Prefix, RankLoadReport, StartState,
    TargetKey, TargetLoadReport, TargetStatus,
};

const CHOICES: u32 = 200_000;

/// Prints nanoseconds for each choice, start and end.
pub fn print() {
    println!("| targets | ns a choice | ns a choice with a prefix | ns start and end |");
    println!("|---|---|---|---|");
    for count in [16, 64, 256, 600] {
        let (mut pool, now) = pool(count);
        let plain = choices(&pool, now, None);
        let prefix = Prefix {
            hash: 77,
            tokens: 500,
        };
        let prefixed = choices(&pool, now, Some(prefix));
        let around = starts(&mut pool, now);
        println!("| {count} | {plain:.0} | {prefixed:.0} | {around:.0} |");
    }
}

fn pool(count: u32) -> (Pool, Instant) {
    let now = Instant::now();
    let mut pool = Pool::new(PoolSettings::default());
    for i in 0..count {
        let key: TargetKey = pool.insert(
            &format!("t{i}"),
            Duration::from_millis(1),
            StartState::Cold,
            now,
        );
        pool.set_status(key, TargetStatus::Ready);
        let rank = RankLoadReport {
            queued_tokens: 37 * (i % 50),
            running: i % 20,
            step: Duration::from_millis(25),
            ..RankLoadReport::default()
        };
        let report = TargetLoadReport {
            taken_at: now,
            limit: 64,
            queued: 0,
            ranks: vec![rank],
        };
        pool.report(key, &report);
    }
    (pool, now + Duration::from_mins(1))
}

fn choices(pool: &Pool, now: Instant, prefix: Option<Prefix>) -> f64 {
    let mut rng = SmallRng::seed_from_u64(1);
    let demand = PlacementRequest {
        prefix,
        ..PlacementRequest::of_tokens(800)
    };
    let began = Instant::now();
    for _ in 0..CHOICES {
        std::hint::black_box(pool.choose(now, &demand, &mut rng));
    }
    nanos_each(began)
}

fn starts(pool: &mut Pool, now: Instant) -> f64 {
    let mut rng = SmallRng::seed_from_u64(1);
    let demand = PlacementRequest::of_tokens(800);
    let Some(choice) = pool.choose(now, &demand, &mut rng) else {
        return f64::NAN;
    };
    let began = Instant::now();
    for _ in 0..CHOICES {
        let attempt = pool.start(now, &choice, &demand);
        pool.answer_started(now, attempt);
        pool.end(now, attempt, AttemptResult::Completed);
    }
    nanos_each(began)
}

fn nanos_each(began: Instant) -> f64 {
    began.elapsed().as_secs_f64() * 1e9 / f64::from(CHOICES)
}
