//! Compares policies for expert maps over the same seeded days and prints a
//! Markdown table. Run with `cargo bench -p lovageramp-expert --bench maps`.
//! Everything but the planner times is the same on every run. A size as
//! argument (`-- 128x60`) runs only that one.
#![allow(
    missing_docs,
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a program of its own; its counts are small"
)]

mod policy;
mod run;
mod scenario;
mod score;
mod trace;

use policy::Policy;
use run::Run;
use scenario::Scenario;
use score::Score;
use std::thread;

fn main() {
    let only: Option<String> = std::env::args().find(|arg| arg.contains('x') && !arg.contains('/'));
    println!(
        "| trace | ranks x layers | policy | skew mean | p95 | p99 | over even | moved GB | of full | moving s | plan mean ms | max ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (ranks, layers) in [(16, 4), (16, 60), (128, 4), (128, 60)] {
        let size = format!("{ranks}x{layers}");
        if only.as_ref().is_some_and(|only| *only != size) {
            continue;
        }
        for scenario in Scenario::ALL {
            let scores = play_all(scenario, ranks, layers);
            for (policy, score) in Policy::ALL.iter().zip(&scores) {
                row(scenario.name(), &size, *policy, score, &scores[1]);
            }
        }
    }
}

/// The policies side by side, each on a thread of its own.
fn play_all(scenario: Scenario, ranks: u16, layers: u16) -> Vec<Score> {
    thread::scope(|scope| {
        let play = |policy| scope.spawn(move || Run::play(policy, scenario, ranks, layers));
        let runs = Policy::ALL.map(play);
        let score = |run: thread::ScopedJoinHandle<'_, Score>| run.join();
        runs.into_iter().map(score).collect::<Result<_, _>>()
    })
    .expect("a policy failed")
}

fn row(scenario: &str, size: &str, policy: Policy, score: &Score, full: &Score) {
    println!(
        "| {scenario} | {size} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.0} | {:.4} | {:.1} | {:.1} | {:.1} |",
        policy.name(),
        score.mean_skew(),
        score.skew_at(0.95),
        score.skew_at(0.99),
        score.over_even(),
        score.bytes() / 1e9,
        score.bytes() / full.bytes(),
        score.moving_seconds(),
        score.mean_plan().as_secs_f64() * 1e3,
        score.longest_plan().as_secs_f64() * 1e3,
    );
}
