//! Map switches over seeded random schedules.

mod engine;
mod event;
mod world;

use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeSet;
use std::env;
use world::{Weather, World};

/// Schedules in a usual run; `EXPERT_SCHEDULES` sets another number, and
/// `EXPERT_SEED` another seed.
const SCHEDULES: u64 = 2500;

fn setting(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

fn check(property: fn(u64) -> bool) {
    QuickCheck::new()
        .tests(setting("EXPERT_SCHEDULES", SCHEDULES))
        .rng(Gen::from_size_and_seed(100, setting("EXPERT_SEED", 7)))
        .quickcheck(property);
}

#[test]
fn switch_one_map_in_every_step() {
    // Messages between the agents are lost, doubled, late and out of order,
    // coordinators and agents are lost at any moment, several coordinators
    // are at work at once, and the engines obey whatever order arrives, its
    // answer lost or not. If two ranks ever ran the same step on different
    // maps, tokens would go to experts that aren't there, and callers would
    // get nonsense.
    fn property(seed: u64) -> bool {
        let mut world = World::new(seed);
        for _ in 0..1500 {
            world.step();
        }
        world.ran.values().all(|contents| contents.len() == 1)
    }
    check(property);
}

#[test]
fn switch_goes_on_after_trouble() {
    // Whatever happened, once the network is well again a coordinator gets
    // its switch through and no rank is left waiting at a barrier: a group
    // that stands still answers nobody.
    fn property(seed: u64) -> bool {
        let mut world = World::new(seed);
        for _ in 0..800 {
            world.step();
        }
        world.remove_coordinators();
        world.set_weather(Weather::Fair);
        for _ in 0..200 {
            world.step();
        }
        world.add_coordinator();
        let before = newest(&world);
        for _ in 0..1000 {
            world.step();
        }
        let versions = world.formed.iter();
        let versions = versions.map(|rank| world.engines[*rank].state.version);
        newest(&world) > before && versions.min().is_some_and(|version| version > before)
    }
    check(property);
}

#[test]
fn switch_schedules_decide() {
    // The schedules above would show nothing if no switch ever got through
    // in foul weather, or none was ever aborted.
    let (mut commits, mut aborts) = (0, 0);
    for seed in 0..100 {
        let mut world = World::new(seed);
        for _ in 0..1500 {
            world.step();
        }
        let contents: BTreeSet<_> = world.ran.values().flatten().collect();
        commits += contents.len().saturating_sub(1);
        let standing = world.decisions.group_state("blank-advisor").unwrap();
        aborts += usize::try_from(standing.next_version()).unwrap() - contents.len();
    }
    println!("{commits} maps came into use, {aborts} versions did not");
    assert!(commits > 100 && aborts > 100, "{commits} {aborts}");
}

/// Version of the newest committed map.
fn newest(world: &World) -> u64 {
    let standing = world.decisions.group_state("blank-advisor");
    let committed = standing.and_then(|standing| standing.committed.first());
    committed.map_or(0, |decision| decision.version)
}
