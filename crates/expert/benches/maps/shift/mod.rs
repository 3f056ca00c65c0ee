//! Measures what limits the balance of groups whose demand shifts every few seconds.

mod bound;
mod demand;
mod group;
mod score;

use expert::SwitchCriteria;
use group::Group;
use score::{Score, mean};
use std::thread;
use std::time::Duration;

/// Seeds of the runs that are averaged; the first two if there are many policies.
const SEEDS: [u64; 8] = [20_261_204, 7, 1, 2, 3, 4, 5, 6];

/// Number of runs at once.
const THREADS: usize = 2;

/// Size of a group, and requests per second.
#[derive(Clone, Copy)]
pub struct Size {
    ranks: u16,
    layers: u16,
    experts: u16,
    slots: u16,
    requests_per_s: f64,
}

const SIZES: [Size; 3] = [
    Size::new(72, 12, 144, 3, 250.0),
    Size::new(24, 16, 96, 5, 83.0),
    Size::new(8, 6, 64, 11, 28.0),
];

/// Load for which maps are planned.
#[derive(Clone, Copy)]
enum Estimate {
    Counts,
    True,
}

/// How maps are planned and switched.
#[derive(Clone, Copy)]
pub struct Policy {
    name: &'static str,
    estimate: Estimate,
    has_lag: bool,
    max_new: usize,
    /// Weight of moves.
    moves: f64,
    criteria: Option<SwitchCriteria>,
}

/// The settings of agents that serve a single rank, for gaps of 120 ms.
const CURRENT: Policy = Policy {
    name: "current",
    estimate: Estimate::Counts,
    has_lag: true,
    max_new: 2,
    moves: 1.0,
    criteria: Some(SwitchCriteria {
        slow_step: Duration::from_millis(66),
        projected_slow_step: Duration::from_millis(90),
        min_gain: 0.08,
    }),
};

impl Size {
    const fn new(ranks: u16, layers: u16, experts: u16, slots: u16, requests_per_s: f64) -> Size {
        Size {
            ranks,
            layers,
            experts,
            slots,
            requests_per_s,
        }
    }
}

/// The current policy, and ones that lift one limit each or all of them.
fn policies() -> Vec<Policy> {
    let any_step = SwitchCriteria {
        slow_step: Duration::ZERO,
        projected_slow_step: Duration::ZERO,
        min_gain: 0.08,
    };
    vec![
        CURRENT,
        Policy {
            name: "true demand",
            estimate: Estimate::True,
            ..CURRENT
        },
        Policy {
            name: "no lag",
            has_lag: false,
            ..CURRENT
        },
        Policy {
            name: "any number of new experts",
            max_new: usize::MAX,
            ..CURRENT
        },
        Policy {
            name: "free moves",
            moves: 0.0,
            ..CURRENT
        },
        Policy {
            name: "any step time",
            criteria: Some(any_step),
            ..CURRENT
        },
        Policy {
            name: "free moves, any step time",
            moves: 0.0,
            criteria: Some(any_step),
            ..CURRENT
        },
        Policy {
            name: "free moves, any step time, true demand",
            moves: 0.0,
            criteria: Some(any_step),
            estimate: Estimate::True,
            ..CURRENT
        },
        Policy {
            name: "free moves, any step time, true demand, any number",
            moves: 0.0,
            criteria: Some(any_step),
            estimate: Estimate::True,
            max_new: usize::MAX,
            ..CURRENT
        },
        Policy {
            name: "the same without lag",
            moves: 0.0,
            criteria: Some(any_step),
            estimate: Estimate::True,
            max_new: usize::MAX,
            has_lag: false,
        },
    ]
}

/// Runs all policies, or the current one alone, and prints a Markdown table.
pub fn run(only_current: bool) {
    println!(
        "| size | demand | policy | in force | best, estimate | best, true | bound | switches/min | steps > 120 ms, % |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for size in SIZES {
        for (demand, shifts) in [("calm", false), ("shifting", true)] {
            let count = if only_current { 1 } else { usize::MAX };
            let seeds = if only_current {
                &SEEDS[..]
            } else {
                &SEEDS[..2]
            };
            for policy in policies().into_iter().take(count) {
                print_row(
                    size,
                    demand,
                    policy.name,
                    &run_seeds(policy, size, shifts, seeds),
                );
            }
        }
    }
}

/// Runs the seeds, some of them in parallel.
fn run_seeds(policy: Policy, size: Size, shifts: bool, seeds: &[u64]) -> Score {
    let run_some = |seeds: &[u64]| -> Vec<Score> {
        thread::scope(|scope| {
            let spawn = |seed| scope.spawn(move || Group::run(policy, size, shifts, seed));
            let runs: Vec<_> = seeds.iter().copied().map(spawn).collect();
            let join = |run: thread::ScopedJoinHandle<'_, Score>| run.join().expect("a run failed");
            runs.into_iter().map(join).collect()
        })
    };
    let scores = seeds.chunks(THREADS).flat_map(run_some);
    scores.reduce(Score::merge).expect("there are seeds")
}

fn print_row(size: Size, demand: &str, policy: &str, score: &Score) {
    println!(
        "| {}x{}x{}x{} | {demand} | {policy} | {:.3} | {:.3} | {:.3} | {:.3} | {:.1} | {:.1} |",
        size.ranks,
        size.layers,
        size.experts,
        size.slots,
        score.imbalance(),
        mean(&score.best_estimate),
        mean(&score.best_true),
        mean(&score.bound),
        score.switches_per_minute(),
        score.slow_percent(),
    );
}
