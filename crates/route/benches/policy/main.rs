//! Compares four load-balancing policies in a seeded discrete-event simulation:
//! random, round robin, least loaded of two by raw reports, and this crate's.
//!
//! `cargo bench -p lovageramp-route --bench policy` prints Markdown tables. All
//! values except the cost of one choice are the same in each run.

mod case;
mod choice_cost;
mod metrics;
mod policy;
mod quarantine;
mod server;
mod simulation;
mod traffic;

use case::Case;
use policy::Policy;
use simulation::Simulation;

/// Cases of the comparison, in table order.
fn cases() -> Vec<Case> {
    let base = Case::default();
    vec![
        Case {
            name: "steady 50%",
            load: 0.5,
            ..base
        },
        Case {
            name: "steady 80%",
            load: 0.8,
            ..base
        },
        Case {
            name: "steady 95%",
            load: 0.95,
            ..base
        },
        Case {
            name: "reports 0.2 s old, gaps",
            load: 0.8,
            report_age: 0.2,
            report_loss: 0.2,
            ..base
        },
        Case {
            name: "reports 2 s old, gaps",
            load: 0.8,
            report_age: 2.0,
            report_loss: 0.2,
            ..base
        },
        Case {
            name: "a target dies",
            load: 0.7,
            target_fails: true,
            ..base
        },
        Case {
            name: "one four times slower",
            load: 0.7,
            slow_target: true,
            ..base
        },
        Case {
            name: "2x overload",
            load: 2.0,
            ..base
        },
        Case {
            name: "large account silent",
            load: 0.45,
            ..base
        },
        Case {
            name: "large account floods",
            load: 0.45,
            flood: 2.0,
            ..base
        },
        Case {
            name: "prefix-heavy",
            load: 0.8,
            prefixes: 200,
            ..base
        },
        Case {
            name: "losing 1 of 3",
            load: 0.55,
            servers: 3,
            target_fails: true,
            ..base
        },
    ]
}

fn main() {
    println!(
        "| case | policy | p50 ms | p95 ms | p99 ms | refused % | retried % | wasted % | small p99 ms | small share % |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for case in cases() {
        for policy in Policy::ALL {
            let metrics = Simulation::new(&case, policy).finish();
            println!("| {} | {} | {metrics} |", case.name, policy.name());
        }
    }
    println!();
    quarantine::print();
    println!();
    choice_cost::print();
}
