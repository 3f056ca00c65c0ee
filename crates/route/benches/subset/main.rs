//! What subsets of targets cost and how evenly they spread the work, by the size of the
//! deployment. Prints Markdown tables. Pure, the same on each run but for the times.
//!
//! `cargo bench -p lovageramp-route --bench subset`

#![allow(
    clippy::cast_precision_loss,
    reason = "the counts of a bench are far below 2^52"
)]

mod deployment;
mod load;

use deployment::Deployment;
use route::SubsetSettings;
use std::time::Instant;

/// Bytes a second that a link costs each end each way: two heartbeats of 12 bytes with
/// TCP and IP headers.
const LINK_BYTES_PER_S: f64 = 128.0;
const ROUNDS: u32 = 20;

fn main() {
    let sizes = [
        Deployment::new(4, &[16, 3]),
        Deployment::new(40, &[20, 20, 20]),
        Deployment::new(120, &[40, 40, 40, 40]),
        Deployment::new(411, &[86, 86, 86, 86, 86, 85, 85]),
    ];
    let cfg = SubsetSettings::default();
    links(&sizes, cfg);
    let letter = &sizes[sizes.len() - 1];
    choices(letter);
    moves(letter, cfg);
    balance(letter, cfg);
}

fn links(sizes: &[Deployment], cfg: SubsetSettings) {
    println!(
        "| entries x targets | links of an entry: mean, most | KB/s an entry, most | entries of a target: least, mean, most | KB/s an agent, most | ms to work out |"
    );
    println!("|---|---|---|---|---|---|");
    for deployment in sizes {
        let graph = deployment.graph(cfg);
        let of_entry = graph.per_entry();
        let of_target = graph.per_target();
        let began = Instant::now();
        for _ in 0..ROUNDS {
            std::hint::black_box(deployment.subsets_of(0, cfg));
        }
        let millis = began.elapsed().as_secs_f64() * 1e3 / f64::from(ROUNDS);
        println!(
            "| {} x {} | {:.1}, {} | {:.1} | {}, {:.1}, {} | {:.1} | {millis:.2} |",
            deployment.entries.len(),
            deployment.targets(),
            mean(&of_entry),
            most(&of_entry),
            most(&of_entry) as f64 * LINK_BYTES_PER_S / 1e3,
            of_target.iter().min().unwrap(),
            mean(&of_target),
            most(&of_target),
            most(&of_target) as f64 * LINK_BYTES_PER_S / 1e3,
        );
    }
    println!();
}

/// Links and balance at the last size by the number of targets of each kind.
fn choices(letter: &Deployment) {
    println!(
        "| targets of a kind | links of an entry: mean, most | entries of a target: least, most | most loaded target against the mean, even callers | a tenth of the entries with half of the callers |"
    );
    println!("|---|---|---|---|---|");
    for targets in [2, 4, 6, 8, 12] {
        let cfg = SubsetSettings {
            targets,
            ..SubsetSettings::default()
        };
        let graph = letter.graph(cfg);
        let (of_entry, of_target) = (graph.per_entry(), graph.per_target());
        println!(
            "| {targets} | {:.1}, {} | {}, {} | {:.2} | {:.2} |",
            mean(&of_entry),
            most(&of_entry),
            of_target.iter().min().unwrap(),
            most(&of_target),
            load::worst(&graph, load::EVEN),
            load::worst(&graph, load::UNEVEN),
        );
    }
    println!();
}

fn moves(letter: &Deployment, cfg: SubsetSettings) {
    let before = letter.graph(cfg);
    println!("| what goes | links of those that stay, before | dialled | let go |");
    println!("|---|---|---|---|");
    let cases = [
        ("one target", letter.without_targets(1)),
        ("one entry", letter.without_entries(1)),
        ("a zone, entries and targets", letter.without_zone(0)),
    ];
    for (what, after) in cases {
        let (stay, dialled, let_go) = before.moves(&after.graph(cfg));
        println!("| {what} | {stay} | {dialled} | {let_go} |");
    }
    println!();
}

fn balance(letter: &Deployment, cfg: SubsetSettings) {
    let all = SubsetSettings {
        targets: letter.targets(),
        ..cfg
    };
    println!("| links | callers | most loaded target against the mean |");
    println!("|---|---|---|");
    for (name, cfg) in [("subset", cfg), ("all", all)] {
        let graph = letter.graph(cfg);
        for (callers, spread) in [("even", load::EVEN), ("uneven", load::UNEVEN)] {
            let worst = load::worst(&graph, spread);
            println!("| {name} | {callers} | {worst:.2} |");
        }
    }
}

fn mean(counts: &[usize]) -> f64 {
    counts.iter().sum::<usize>() as f64 / counts.len() as f64
}

fn most(counts: &[usize]) -> usize {
    counts.iter().copied().max().unwrap_or(0)
}
