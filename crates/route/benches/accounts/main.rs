//! Enforcement of account limits over several entries, with static shares and with shares
//! allocated by a leader according to demand. Prints Markdown tables; all values except
//! the times are the same in each run.
//!
//! `cargo bench -p lovageramp-route --bench accounts`

#![allow(
    clippy::cast_precision_loss,
    reason = "the counts of a bench are far below 2^52"
)]

mod simulation;

use route::{FULL_QUOTA, QuotaAllocator, QuotaUsage};
use simulation::{Callers, Sharing, Simulation};
use std::time::{Duration, Instant};

const LEASE: Duration = Duration::from_secs(3);
/// Number of accounts in a large deployment.
const ACCOUNTS: u32 = 2000;
/// Number of accounts that an entry serves within a few seconds.
const ACCOUNTS_PER_REPORT: u32 = 60;

fn main() {
    println!(
        "| entries | callers | sharing | admitted, % of the limit | maximum in any 2 s, % of the limit and its burst |"
    );
    println!("|---|---|---|---|---|");
    for entries in [4, 411] {
        let cases = [
            ("one entry alone", Callers::OneEntry, 1.0),
            ("another entry each 10 s", Callers::Moving, 1.0),
            ("all entries", Callers::All, 1.0),
            ("all entries, three times the limit", Callers::All, 3.0),
            ("in turn a burst at each entry", Callers::Bursts, 3.0),
        ];
        for (name, callers, load) in cases {
            for sharing in [Sharing::OwnPart, Sharing::Exchange] {
                let mut simulation = Simulation::new(entries, sharing);
                let (admitted, max_in_window) = simulation.run(callers, load);
                println!(
                    "| {entries} | {name} | {sharing:?} | {admitted:.1} | {max_in_window:.1} |"
                );
            }
        }
    }
    println!();
    report_cost();
}

/// Prints the cost of reports at the leader.
fn report_cost() {
    println!("| accounts at | accounts per report | us per report | accounts tracked |");
    println!("|---|---|---|---|");
    for (name, stride) in [("few entries each", 7), ("all entries", 0)] {
        let elected_at = Instant::now();
        let mut allocator = QuotaAllocator::new(elected_at, LEASE);
        let start = Instant::now();
        let mut reports = 0;
        for round in 0..20_u32 {
            let now = elected_at + LEASE + Duration::from_millis(500) * round;
            for entry in 0..411_u32 {
                let usages: Vec<QuotaUsage> = (0..ACCOUNTS_PER_REPORT)
                    .map(|n| QuotaUsage {
                        account: (entry * stride + n) % ACCOUNTS,
                        demand: 10 + (entry + round) % 50,
                        held: FULL_QUOTA / 411,
                    })
                    .collect();
                let sequence = u64::from(round) + 1;
                let at = now + Duration::from_micros(1200) * entry;
                std::hint::black_box(allocator.report(u64::from(entry), sequence, &usages, at));
                reports += 1;
            }
        }
        let micros = start.elapsed().as_secs_f64() * 1e6 / f64::from(reports);
        println!(
            "| {name} | {ACCOUNTS_PER_REPORT} | {micros:.1} | {} |",
            allocator.accounts()
        );
    }
}
