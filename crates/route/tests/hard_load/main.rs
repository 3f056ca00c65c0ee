//! Hard load on many entries and targets, simulated on the pure core.
//!
//! The bounds are the goals of `docs/design/hard-load.md`.

mod callers;
mod day;
mod entry;
mod queue_way;
mod scenario;
mod targets;

use crate::day::run;
use crate::scenario::{Scenario, Way};

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
