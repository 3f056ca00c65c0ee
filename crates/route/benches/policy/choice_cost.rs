//! Cost of one choice by the number of targets.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::{
    AttemptResult, PlacementRequest, Pool, PoolSettings, Prefix, RankLoadReport, StartState,
    TargetKey, TargetLoadReport, TargetStatus,
};

const CHOICES: u32 = 200_000;

/// Prints the time per choice, and per start and end, in nanoseconds.
pub fn print() {
    println!("| targets | ns a choice | ns a choice with a prefix | ns start and end |");
    println!("|---|---|---|---|");
    for count in [16, 64, 256, 600] {
        let (mut pool, now) = pool(count);
        let plain = time_choices(&pool, now, None);
        let prefix = Prefix {
            hash: 77,
            tokens: 500,
        };
        let prefixed = time_choices(&pool, now, Some(prefix));
        let start_and_end = time_starts(&mut pool, now);
        println!("| {count} | {plain:.0} | {prefixed:.0} | {start_and_end:.0} |");
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

fn time_choices(pool: &Pool, now: Instant, prefix: Option<Prefix>) -> f64 {
    let mut rng = SmallRng::seed_from_u64(1);
    let request = PlacementRequest {
        prefix,
        ..PlacementRequest::of_tokens(800)
    };
    let start = Instant::now();
    for _ in 0..CHOICES {
        std::hint::black_box(pool.choose(now, &request, &mut rng));
    }
    nanos_per_choice(start)
}

fn time_starts(pool: &mut Pool, now: Instant) -> f64 {
    let mut rng = SmallRng::seed_from_u64(1);
    let request = PlacementRequest::of_tokens(800);
    let Some(choice) = pool.choose(now, &request, &mut rng) else {
        return f64::NAN;
    };
    let start = Instant::now();
    for _ in 0..CHOICES {
        let attempt = pool.start(now, &choice, &request);
        pool.answer_started(now, attempt);
        pool.end(now, attempt, AttemptResult::Completed);
    }
    nanos_per_choice(start)
}

fn nanos_per_choice(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e9 / f64::from(CHOICES)
}
