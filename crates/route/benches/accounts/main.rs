//! Limits of accounts over several entries: each with its own part only, and with parts
//! that a leader gives out by use. Prints Markdown tables; all but the times are the same
//! on each run.
//!
//! `cargo bench -p lovageramp-route --bench accounts`

#![allow(
    clippy::cast_precision_loss,
    reason = "the counts of a bench are far below 2^52"
)]

mod world;

use route::{FULL_QUOTA, QuotaAllocator, QuotaUsage};
use std::time::{Duration, Instant};
use world::{Callers, Sharing, World};

const LEASE: Duration = Duration::from_secs(3);
/// Accounts of the letter's size, and how many of them an entry sees in a few seconds.
const ACCOUNTS: u32 = 2000;
const SEEN: u32 = 60;

fn main() {
    println!(
        "| entries | callers | sharing | let in, % of what the limit allows of it | most in any 2 s, % of the limit and its burst |"
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
                let mut world = World::new(entries, sharing);
                let (let_in, most) = world.run(callers, load);
                println!("| {entries} | {name} | {sharing:?} | {let_in:.1} | {most:.1} |");
            }
        }
    }
    println!();
    cost();
}

/// What the leader spends on reports.
fn cost() {
    println!("| accounts at | rows of a report | us a report | accounts held |");
    println!("|---|---|---|---|");
    for (name, stride) in [("few entries each", 7), ("all entries", 0)] {
        let began = Instant::now();
        let mut exchange = QuotaAllocator::new(began, LEASE);
        let start = Instant::now();
        let mut reports = 0;
        for round in 0..20_u32 {
            let now = began + LEASE + Duration::from_millis(500) * round;
            for entry in 0..411_u32 {
                let uses: Vec<QuotaUsage> = (0..SEEN)
                    .map(|n| QuotaUsage {
                        account: (entry * stride + n) % ACCOUNTS,
                        demand: 10 + (entry + round) % 50,
                        held: FULL_QUOTA / 411,
                    })
                    .collect();
                let sequence = u64::from(round) + 1;
                let at = now + Duration::from_micros(1200) * entry;
                std::hint::black_box(exchange.report(u64::from(entry), sequence, &uses, at));
                reports += 1;
            }
        }
        let micros = start.elapsed().as_secs_f64() * 1e6 / f64::from(reports);
        println!(
            "| {name} | {SEEN} | {micros:.1} | {} |",
            exchange.accounts()
        );
    }
}
