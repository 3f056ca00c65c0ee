//! Hard load on many entries and targets, simulated on the pure core.
//!
//! The bounds are the goals of `docs/design/hard-load.md`. With `LOVAGERAMP_SCHEDULES` set,
//! other numbers of entries and targets run whole days.

mod callers;
mod curve;
mod day;
mod entry;
mod queue_way;
mod scenario;
mod targets;

use crate::day::run;
use crate::scenario::{Outcomes, Scenario, Way};
use std::sync::LazyLock;
use std::time::Duration;

type Run = LazyLock<Outcomes>;
static NORMAL: Run = LazyLock::new(|| run(Scenario::measured(Way::Queue, 1.0)));
static TWICE: Run = LazyLock::new(|| run(Scenario::measured(Way::Queue, 2.0)));
static THREE_TIMES: Run = LazyLock::new(|| run(Scenario::measured(Way::Queue, 3.0)));
static FOUR_TIMES: Run = LazyLock::new(|| run(Scenario::measured(Way::Queue, 4.0)));

/// Guards against a model that does not behave as the measured system: its figures are
/// compared with those measured before requests could wait.
#[test]
fn today_measured_table() {
    let rows = [
        (Scenario::measured(Way::Today, 1.3), [0.978, 0.977, 0.994]),
        (Scenario::measured(Way::Today, 2.0), [0.719, 0.744, 0.941]),
        (Scenario::measured(Way::Today, 3.0), [0.500, 0.517, 0.850]),
        (Scenario::rank_dark(Way::Today), [0.765, 0.745, 0.776]),
    ];
    for (scenario, measured) in rows {
        let outcomes = run(scenario);
        for (counts, measured) in outcomes.routes.iter().zip(measured) {
            let difference = (counts.on_time_share() - measured).abs();
            assert!(difference < 0.1, "{scenario:?}: {}", outcomes.summary());
        }
    }
}

/// Guards against late hints while reviews hold the slots, at twice the load.
#[test]
fn hints_twice_the_load() {
    let hints = TWICE.routes[0].on_time_share();
    assert!(hints >= 0.95, "{}", TWICE.summary());
}

/// Guards against late hints while reviews hold the slots, at three times the load.
#[test]
fn hints_three_times_the_load() {
    let hints = THREE_TIMES.routes[0].on_time_share();
    assert!(hints >= 0.9, "{}", THREE_TIMES.summary());
}

/// Guards against dropped reviews at twice the load: the targets can run 380 requests per
/// second, with which all reviews can be served in order of arrival by their deadline.
#[test]
fn reviews_twice_the_load() {
    let dropped = TWICE.routes[2].dropped;
    assert!(dropped < 0.5, "{}", TWICE.summary());
}

/// Guards against a value earned that is far below what the load allows.
#[test]
fn value_by_load() {
    for (run, goal) in [(&TWICE, 0.85), (&THREE_TIMES, 0.65)] {
        assert!(run.value() >= goal, "{}", run.summary());
    }
}

/// Guards against a collapse in which requests that are late take the slots of others.
#[test]
fn goodput_four_times_the_load() {
    let loads = [&NORMAL, &TWICE, &THREE_TIMES, &FOUR_TIMES];
    let best = loads.map(|run| run.goodput).into_iter().fold(0.0, f64::max);
    let goodput = FOUR_TIMES.goodput;
    assert!(
        goodput >= 0.9 * best,
        "{goodput} of {best}: {}",
        FOUR_TIMES.summary()
    );
}

/// Guards against refusals with a time at which the caller is refused again.
#[test]
fn refused_twice_normal_load() {
    assert!(NORMAL.is_rarely_refused_twice(), "{}", NORMAL.summary());
}

/// Guards against refusals with a time at which the caller is refused again, at twice the
/// load.
#[test]
fn refused_twice_twice_the_load() {
    assert!(TWICE.is_rarely_refused_twice(), "{}", TWICE.summary());
}

/// Guards against refusals with a time at which the caller is refused again, at three times
/// the load.
#[test]
fn refused_twice_three_times_the_load() {
    let run = &THREE_TIMES;
    assert!(run.is_rarely_refused_twice(), "{}", run.summary());
}

/// Guards against refusing, in an outage of seconds, callers that could wait for its end.
#[test]
fn refused_rank_dark() {
    let today = run(Scenario::rank_dark(Way::Today));
    let queue = run(Scenario::rank_dark(Way::Queue));
    let summaries = format!("{}\nbefore: {}", queue.summary(), today.summary());
    assert!(queue.refused < today.refused, "{summaries}");
    assert!(queue.is_rarely_refused_twice(), "{summaries}");
    assert!(queue.value() >= 0.75, "{summaries}");
}

/// Guards against a large client account that takes the slots of others: each has its
/// weighted share of the answers, or all that it asked for.
#[test]
fn account_shares_three_times_the_load() {
    let scenario = Scenario {
        fault: Duration::from_secs(20),
        ..Scenario::measured(Way::Queue, 3.0)
    };
    let outcomes = run(scenario);
    for route in [1, 2] {
        let accounts = &outcomes.accounts[route];
        for (account, share) in scenario::fair_shares(accounts).iter().enumerate() {
            let (asked, served) = accounts[account];
            let is_fair = (served - share).abs() <= 0.1 * share;
            assert!(
                is_fair,
                "{scenario:?}: route {route}, account {account}: {served} of {asked} served, share {share:.1}"
            );
        }
    }
}

/// Guards against entries that compete for slots: with many of them, as many hints are on
/// time as with one.
#[test]
fn hints_many_entries() {
    let one = run(Scenario::of_size(1, 12, 12));
    let hints = one.routes[0].on_time_share();
    let sizes = [(13, 72, 72), (47, 72, 24), (231, 768, 96)];
    let runs = sizes.map(|(entries, targets, group)| {
        let many = run(Scenario::of_size(entries, targets, group));
        let difference = (many.routes[0].on_time_share() - hints).abs();
        (
            difference <= 0.05 * hints,
            format!("{entries} x {targets}: {}", many.summary()),
        )
    });
    let is_alike = runs.iter().all(|(is_alike, _)| *is_alike);
    assert!(is_alike, "1 x 12: {}\n{runs:#?}", one.summary());
}
