//! Compares policies for expert maps on the same seeded load traces of one day
//! and prints a Markdown table. Run with
//! `cargo bench -p lovageramp-expert --bench maps`. All results except the
//! planner times are deterministic. A size as argument (`-- 128x60`) restricts
//! the run to that size; `-- shift` measures demand that shifts every few
//! seconds, and `-- shift current` the current settings alone.
#![allow(
    missing_docs,
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a stand-alone program with small counts"
)]

mod policy;
mod run;
mod scenario;
mod score;
mod shift;
mod trace;

use policy::Policy;
use run::Run;
use scenario::Scenario;
use score::Score;
use std::thread;

fn main() {
    if std::env::args().any(|arg| arg == "shift") {
        return shift::run(std::env::args().any(|arg| arg == "current"));
    }
    let selected: Option<String> =
        std::env::args().find(|arg| arg.contains('x') && !arg.contains('/'));
    println!(
        "| trace | ranks x layers | policy | skew mean | p95 | p99 | over even | moved GB | of full | moving s | plan mean ms | max ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (ranks, layers) in [(16, 4), (16, 60), (128, 4), (128, 60)] {
        let size = format!("{ranks}x{layers}");
        if selected.as_ref().is_some_and(|selected| *selected != size) {
            continue;
        }
        for scenario in Scenario::ALL {
            let scores = run_all(scenario, ranks, layers);
            for (policy, score) in Policy::ALL.iter().zip(&scores) {
                print_row(scenario.name(), &size, *policy, score, &scores[1]);
            }
        }
    }
}

/// Runs all policies in parallel, each on its own thread.
fn run_all(scenario: Scenario, ranks: u16, layers: u16) -> Vec<Score> {
    thread::scope(|scope| {
        let spawn = |policy| scope.spawn(move || Run::run_day(policy, scenario, ranks, layers));
        let runs = Policy::ALL.map(spawn);
        let score = |run: thread::ScopedJoinHandle<'_, Score>| run.join();
        runs.into_iter().map(score).collect::<Result<_, _>>()
    })
    .expect("a policy failed")
}

fn print_row(scenario: &str, size: &str, policy: Policy, score: &Score, full: &Score) {
    println!(
        "| {scenario} | {size} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.0} | {:.4} | {:.1} | {:.1} | {:.1} |",
        policy.name(),
        score.mean_skew(),
        score.skew_quantile(0.95),
        score.skew_quantile(0.99),
        score.over_ideal(),
        score.bytes() / 1e9,
        score.bytes() / full.bytes(),
        score.moving_seconds(),
        score.mean_plan().as_secs_f64() * 1e3,
        score.longest_plan().as_secs_f64() * 1e3,
    );
}
