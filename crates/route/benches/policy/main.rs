//! Compares four policies of choosing a target, in a seeded discrete-event
//! run: random, round robin, least of two on raw reports, and this crate's.
//!
//! `cargo bench -p lovageramp-route --bench policy` prints a table. Its
//! figures are the same in each run, but for the cost of one choice.

mod case;
mod choice_cost;
mod figures;
mod policy;
mod quarantine;
mod run;
mod server;
mod traffic;

use case::Case;
use policy::Policy;
use run::Run;

/// Cases of the comparison, in the order of the table.
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
            lag: 0.2,
            gaps: 0.2,
            ..base
        },
        Case {
            name: "reports 2 s old, gaps",
            load: 0.8,
            lag: 2.0,
            gaps: 0.2,
            ..base
        },
        Case {
            name: "a target dies",
            load: 0.7,
            dies: true,
            ..base
        },
        Case {
            name: "one four times slower",
            load: 0.7,
            slow: true,
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
            dies: true,
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
            let figures = Run::new(&case, policy).finish();
            println!("| {} | {} | {figures} |", case.name, policy.name());
        }
    }
    println!();
    quarantine::print();
    println!();
    choice_cost::print();
}
