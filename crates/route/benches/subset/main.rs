//! Cost and balance of target subsets, by size of the deployment. Prints Markdown tables;
//! all values except the times are the same in each run.
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

/// Traffic of a link in each direction, in bytes per second: two heartbeats of 12 bytes
/// with TCP and IP headers.
const LINK_BYTES_PER_S: f64 = 128.0;
const ROUNDS: u32 = 20;

fn main() {
    let sizes = [
        Deployment::new(4, &[16, 3]),
        Deployment::new(40, &[20, 20, 20]),
        Deployment::new(120, &[40, 40, 40, 40]),
        Deployment::new(411, &[86, 86, 86, 86, 86, 85, 85]),
    ];
    let settings = SubsetSettings::default();
    print_links(&sizes, settings);
    let large = &sizes[sizes.len() - 1];
    print_by_minimum(large);
    print_changes(large, settings);
    print_balance(large, settings);
}

fn print_links(sizes: &[Deployment], settings: SubsetSettings) {
    println!(
        "| entries x targets | links per entry: mean, max | max KB/s per entry | entries per target: min, mean, max | max KB/s per agent | ms to compute |"
    );
    println!("|---|---|---|---|---|---|");
    for deployment in sizes {
        let graph = deployment.graph(settings);
        let of_entry = graph.links_per_entry();
        let of_target = graph.entries_per_target();
        let start = Instant::now();
        for _ in 0..ROUNDS {
            std::hint::black_box(deployment.subsets_of(0, settings));
        }
        let millis = start.elapsed().as_secs_f64() * 1e3 / f64::from(ROUNDS);
        println!(
            "| {} x {} | {:.1}, {} | {:.1} | {}, {:.1}, {} | {:.1} | {millis:.2} |",
            deployment.entries.len(),
            deployment.target_count(),
            mean(&of_entry),
            max(&of_entry),
            max(&of_entry) as f64 * LINK_BYTES_PER_S / 1e3,
            of_target.iter().min().unwrap(),
            mean(&of_target),
            max(&of_target),
            max(&of_target) as f64 * LINK_BYTES_PER_S / 1e3,
        );
    }
    println!();
}

/// Prints links and balance of the largest deployment by the minimum number of targets.
fn print_by_minimum(large: &Deployment) {
    println!(
        "| min targets per entry and kind | links per entry: mean, max | entries per target: min, max | max/mean target load, even callers | max/mean target load, half of the callers at a tenth of the entries |"
    );
    println!("|---|---|---|---|---|");
    for targets in [2, 4, 6, 8, 12] {
        let settings = SubsetSettings {
            targets,
            ..SubsetSettings::default()
        };
        let graph = large.graph(settings);
        let (of_entry, of_target) = (graph.links_per_entry(), graph.entries_per_target());
        println!(
            "| {targets} | {:.1}, {} | {}, {} | {:.2} | {:.2} |",
            mean(&of_entry),
            max(&of_entry),
            of_target.iter().min().unwrap(),
            max(&of_target),
            load::max_to_mean(&graph, load::EVEN),
            load::max_to_mean(&graph, load::UNEVEN),
        );
    }
    println!();
}

fn print_changes(large: &Deployment, settings: SubsetSettings) {
    let before = large.graph(settings);
    println!("| removed | links of the remaining entries before | links added | links dropped |");
    println!("|---|---|---|---|");
    let cases = [
        ("one target", large.without_targets(1)),
        ("one entry", large.without_entries(1)),
        ("a zone, entries and targets", large.without_zone(0)),
    ];
    for (what, after) in cases {
        let (total, added, removed) = before.changes(&after.graph(settings));
        println!("| {what} | {total} | {added} | {removed} |");
    }
    println!();
}

fn print_balance(large: &Deployment, settings: SubsetSettings) {
    let all = SubsetSettings {
        targets: large.target_count(),
        ..settings
    };
    println!("| links | callers | max/mean target load |");
    println!("|---|---|---|");
    for (name, settings) in [("subset", settings), ("all", all)] {
        let graph = large.graph(settings);
        for (callers, spread) in [("even", load::EVEN), ("uneven", load::UNEVEN)] {
            let ratio = load::max_to_mean(&graph, spread);
            println!("| {name} | {callers} | {ratio:.2} |");
        }
    }
}

fn mean(counts: &[usize]) -> f64 {
    counts.iter().sum::<usize>() as f64 / counts.len() as f64
}

fn max(counts: &[usize]) -> usize {
    counts.iter().copied().max().unwrap_or(0)
}
