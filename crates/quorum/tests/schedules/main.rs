//! Randomized fault schedules over a small cluster, with fixed seeds.
//!
//! To run more schedules with another seed:
//! `LOVAGERAMP_SCHEDULES=20000 LOVAGERAMP_SEED=7 cargo test --release -p lovageramp-quorum --test schedules`

mod faults;
mod first_start;
mod host;
mod network;
mod schedule;
mod simulation;

use faults::Faults;
use quickcheck::{Gen, QuickCheck, TestResult};
use schedule::Schedule;
use std::env;

const SCHEDULES_PER_TEST: u64 = 500;
/// A first start takes several times as long as another schedule.
const FIRST_STARTS_PER_TEST: u64 = 100;
const GEN_SIZE: usize = 100;

fn env_number(variable: &str, default: u64) -> u64 {
    let given = env::var(variable).ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn check(property: fn(Schedule) -> TestResult, seed: u64) {
    check_times(property, seed, SCHEDULES_PER_TEST);
}

fn check_times(property: fn(Schedule) -> TestResult, seed: u64, times: u64) {
    let seed = env_number("LOVAGERAMP_SEED", 0) ^ seed;
    QuickCheck::new()
        .tests(env_number("LOVAGERAMP_SCHEDULES", times))
        .rng(Gen::from_size_and_seed(GEN_SIZE, seed))
        .quickcheck(property);
}

fn run(schedule: &Schedule, faults: &Faults) -> TestResult {
    match simulation::run(schedule, faults) {
        Ok(()) => TestResult::passed(),
        Err(reason) => TestResult::error(reason),
    }
}

/// Messages are lost, duplicated, delayed and reordered, and partitions isolate
/// replicas for a while, including a leader that does not notice. If the log
/// rules were violated, an acknowledged entry could be lost.
#[test]
fn schedule_network_faults() {
    check(|s| run(&s, &Faults::network()), 1);
}

/// Processes are killed at any time, also between a write and its sync, and
/// restart with what their disk holds. If a vote or an acceptance were lost,
/// there could be two leaders in a term or a lost entry.
#[test]
fn schedule_restarts() {
    check(|s| run(&s, &Faults::restarts()), 2);
}

/// A disk is lost and the replica restarts with a blank one. As soon as the
/// leader reports all voters as caught up, the next disk is lost. If a blank
/// replica counted as the voter it was before, an acknowledged entry would be
/// lost.
#[test]
fn schedule_lost_disks() {
    check(|s| run(&s, &Faults::lost_disks()), 3);
}

/// Guards against a replica on a new disk that is never added, because its
/// settings name only replicas that do not lead, until further lost disks
/// cost the majority.
#[test]
fn schedule_lost_minorities() {
    check(|s| run(&s, &Faults::lost_minorities()), 6);
}

/// Guards against a first start that never ends or forgets what it has acknowledged if
/// hosts are late or lose their disks at any moment of it.
#[test]
fn schedule_first_start_lost_disks() {
    let run_one = |s: Schedule| run(&s, &Faults::first_start_lost_disks());
    check_times(run_one, 7, FIRST_STARTS_PER_TEST);
}

/// Guards against a first start that forms two clusters if hosts are late or cut off
/// from each other.
#[test]
fn schedule_first_start_partitions() {
    let run_one = |s: Schedule| run(&s, &Faults::first_start_partitions());
    check_times(run_one, 8, FIRST_STARTS_PER_TEST);
}

/// The clock of a replica steps forward, so that it considers a live leader
/// dead and leases do not hold. Reads must still be linearizable, because a
/// majority confirms them, not a clock.
#[test]
fn schedule_clock_steps() {
    check(|s| run(&s, &Faults::clock_steps()), 4);
}

/// All of these faults at once, except clock steps.
#[test]
fn schedule_all_faults() {
    check(|s| run(&s, &Faults::all()), 5);
}
