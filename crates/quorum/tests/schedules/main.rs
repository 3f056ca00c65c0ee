//! Seeded random schedules over a few replicas.
//!
//! Fixed seeds here; for more with others:
//! `LOVAGERAMP_SCHEDULES=20000 LOVAGERAMP_SEED=7 cargo test --release -p lovageramp-quorum --test schedules`

mod faults;
mod host;
mod network;
mod schedule;
mod world;

use faults::Faults;
use quickcheck::{Gen, QuickCheck, TestResult};
use schedule::Schedule;
use std::env;

const SCHEDULES_EACH: u64 = 500;
const GEN_SIZE: usize = 100;

fn number(variable: &str, default: u64) -> u64 {
    let given = env::var(variable).ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn check(property: fn(Schedule) -> TestResult, seed: u64) {
    let seed = number("LOVAGERAMP_SEED", 0) ^ seed;
    QuickCheck::new()
        .tests(number("LOVAGERAMP_SCHEDULES", SCHEDULES_EACH))
        .rng(Gen::from_size_and_seed(GEN_SIZE, seed))
        .quickcheck(property);
}

fn run(schedule: &Schedule, faults: &Faults) -> TestResult {
    match world::run(schedule, faults) {
        Ok(()) => TestResult::passed(),
        Err(reason) => TestResult::error(reason),
    }
}

/// Messages are lost, doubled, late and out of order, and links are cut for
/// long, also those of a leader that goes on believing. Without the log's
/// rules a client would find an acknowledged note gone.
#[test]
fn schedule_network_faults() {
    check(|s| run(&s, &Faults::network()), 1);
}

/// Processes are killed at any moment, between a write and its sync as well,
/// and come back with what their disk holds. A client would find that a vote
/// or an acceptance was forgotten: two leaders, or a lost claim.
#[test]
fn schedule_restarts() {
    check(|s| run(&s, &Faults::restarts()), 2);
}

/// A disk is lost and the replica comes back blank; as soon as the leader
/// reports the repair complete the next disk is lost. Were a blank replica to
/// count as the voter it was, an acknowledged entry would be gone with them.
#[test]
fn schedule_lost_disks() {
    check(|s| run(&s, &Faults::lost_disks()), 3);
}

/// The clock of one replica steps forward, so that it takes a live leader for
/// dead and the leader's lease is void. Reads must still be whole, since they
/// are confirmed by a majority and not by a clock.
#[test]
fn schedule_clock_steps() {
    check(|s| run(&s, &Faults::clock_steps()), 4);
}

/// All of these at once, but for the clocks.
#[test]
fn schedule_all_faults() {
    check(|s| run(&s, &Faults::all()), 5);
}
