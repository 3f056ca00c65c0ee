//! Fault injection for coordinators, agents and engines.

use super::{RANKS, Simulation, timing};
use crate::engine::{Engine, FencingPolicy};
use expert::Participant;
use rand::RngExt;
use std::time::Duration;

/// An engine that has just started. Some engines check fencing numbers, others
/// don't.
pub(super) fn engine(seed: u64, rank: usize, step: u64) -> Engine {
    let fencing_policy = if seed >> rank & 1 == 0 {
        FencingPolicy::Ignore
    } else {
        FencingPolicy::Refuse
    };
    Engine::start(fencing_policy, step)
}

impl Simulation {
    pub(super) fn inject_faults(&mut self) {
        if self.coordinators.is_empty() || self.rng.random_range(0..400) == 0 {
            self.add_coordinator();
        }
        if self.rng.random_range(0..300) == 0 {
            let incarnations: Vec<usize> = self.coordinators.keys().copied().collect();
            let lost = incarnations[self.rng.random_range(0..incarnations.len())];
            self.coordinators.remove(&lost);
        }
        if self.rng.random_range(0..1200) == 0 {
            self.lose_engine();
        }
        if self.rng.random_range(0..600) == 0 {
            self.restart_engine();
        }
        if self.rng.random_range(0..300) == 0 {
            let rank = self.rng.random_range(0..RANKS);
            let agent = &mut self.agents[rank];
            agent.incarnation += 1;
            agent.max_fencing = None;
            let now = self.start + Duration::from_millis(self.tick);
            agent.participant = Participant::new(timing(self.lead_steps), now);
        }
    }

    /// All live engines leave the current formation and enter the next one.
    pub(super) fn enter_formation(&mut self) {
        self.formation += 1;
        for (rank, engine) in self.engines.iter_mut().enumerate() {
            let is_member = self.formed.contains(&rank);
            engine.state.formation = is_member.then_some(self.formation);
        }
    }

    /// An engine is lost, and the others continue without it.
    fn lose_engine(&mut self) {
        let rank = self.rng.random_range(0..RANKS);
        if self.formed.len() > 1 && self.formed.remove(&rank) {
            self.engines[rank].alive = false;
            self.enter_formation();
        }
    }

    /// An engine is started again, whether or not its loss was noticed.
    fn restart_engine(&mut self) {
        let rank = self.rng.random_range(0..RANKS);
        let others = self.formed.iter().filter(|other| **other != rank);
        let step = others.map(|other| self.engines[*other].state.step).min();
        let Some(step) = step else { return };
        self.engines[rank] = engine(self.seed, rank, step);
        self.formed.insert(rank);
        self.enter_formation();
    }
}
