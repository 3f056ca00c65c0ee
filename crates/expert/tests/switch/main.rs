//! Map switches under seeded random schedules.

mod engine;
mod event;
mod simulation;

use quickcheck::{Gen, QuickCheck};
use simulation::{Conditions, Simulation};
use std::collections::BTreeSet;
use std::env;

/// Default number of schedules. `EXPERT_SCHEDULES` overrides it, and
/// `EXPERT_SEED` overrides the seed.
const DEFAULT_SCHEDULES: u64 = 2500;

fn setting(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

fn check(property: fn(u64) -> bool) {
    QuickCheck::new()
        .tests(setting("EXPERT_SCHEDULES", DEFAULT_SCHEDULES))
        .rng(Gen::from_size_and_seed(100, setting("EXPERT_SEED", 7)))
        .quickcheck(property);
}

#[test]
fn switch_one_map_per_step() {
    // Messages are lost, duplicated, delayed and reordered, coordinators and
    // agents crash at any time, several coordinators are active at once, and
    // engines execute every command that arrives, whether or not the answer
    // is lost. If two ranks ran the same step on different maps, tokens would
    // be sent to ranks that don't hold their experts, and callers would get
    // wrong answers.
    fn property(seed: u64) -> bool {
        let mut simulation = Simulation::new(seed);
        for _ in 0..1500 {
            simulation.advance();
        }
        simulation.maps_by_step.values().all(|maps| maps.len() == 1)
    }
    check(property);
}

/// Guards against a step on two maps when a barrier is so near that some ranks promise
/// to stop there while the step before it ends.
#[test]
fn switch_one_map_per_step_short_lead() {
    fn property(seed: u64) -> bool {
        let mut simulation = short_lead_simulation(seed);
        for _ in 0..1500 {
            simulation.advance();
        }
        simulation.maps_by_step.values().all(|maps| maps.len() == 1)
    }
    check(property);
}

#[test]
fn switch_completes_after_faults() {
    // Once the faults end, a coordinator completes a switch and no rank is
    // left waiting at a barrier, whatever happened before. Otherwise the group
    // would stop answering.
    fn property(seed: u64) -> bool {
        let mut simulation = Simulation::new(seed);
        for _ in 0..800 {
            simulation.advance();
        }
        simulation.remove_coordinators();
        simulation.set_conditions(Conditions::Healthy);
        for _ in 0..200 {
            simulation.advance();
        }
        simulation.add_coordinator();
        let before = newest_version(&simulation);
        for _ in 0..1000 {
            simulation.advance();
        }
        let versions = simulation.formed.iter();
        let versions = versions.map(|rank| simulation.engines[*rank].state.version);
        newest_version(&simulation) > before
            && versions.min().is_some_and(|version| version > before)
    }
    check(property);
}

#[test]
fn schedules_commit_and_abort() {
    // The properties above would hold trivially if no switch was ever
    // committed under faults, or none was ever aborted.
    let (commits, aborts) = count_versions(Simulation::new);
    assert!(commits > 100 && aborts > 100, "{commits} {aborts}");
}

/// Guards against short leads with which every switch is aborted.
#[test]
fn schedules_commit_and_abort_short_lead() {
    let (commits, aborts) = count_versions(short_lead_simulation);
    assert!(commits > 0 && aborts > 0, "{commits} {aborts}");
}

/// A group whose barriers may be so near that they have passed when a rank is asked to
/// promise.
fn short_lead_simulation(seed: u64) -> Simulation {
    Simulation::with_lead_steps(seed, 1 + seed % 6)
}

/// Runs 100 schedules and counts the versions that came into use and those that did
/// not.
fn count_versions(simulation: impl Fn(u64) -> Simulation) -> (usize, usize) {
    let (mut commits, mut aborts) = (0, 0);
    for seed in 0..100 {
        let mut simulation = simulation(seed);
        for _ in 0..1500 {
            simulation.advance();
        }
        let maps: BTreeSet<_> = simulation.maps_by_step.values().flatten().collect();
        commits += maps.len().saturating_sub(1);
        let group_state = simulation.decisions.group_state("blank-advisor").unwrap();
        aborts += usize::try_from(group_state.next_version()).unwrap() - maps.len();
    }
    (commits, aborts)
}

/// Version of the newest committed map.
fn newest_version(simulation: &Simulation) -> u64 {
    let group_state = simulation.decisions.group_state("blank-advisor");
    let committed = group_state.and_then(|group_state| group_state.committed.first());
    committed.map_or(0, |decision| decision.version)
}
