//! What befalls coordinators, agents and engines.

use super::{RANKS, World, timing};
use crate::engine::{Engine, FencingCheck};
use expert::Participant;
use rand::RngExt;
use std::time::Duration;

/// Some engines check fencing numbers and some don't.
pub(super) fn engine(seed: u64, rank: usize, step: u64) -> Engine {
    let check = if seed >> rank & 1 == 0 {
        FencingCheck::Ignore
    } else {
        FencingCheck::Refuse
    };
    Engine::start(check, step)
}

impl World {
    pub(super) fn misfortune(&mut self) {
        if self.coordinators.is_empty() || self.rng.random_range(0..400) == 0 {
            self.add_coordinator();
        }
        if self.rng.random_range(0..300) == 0 {
            let lives: Vec<usize> = self.coordinators.keys().copied().collect();
            let lost = lives[self.rng.random_range(0..lives.len())];
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
            agent.life += 1;
            agent.fence = None;
            let now = self.start + Duration::from_millis(self.tick);
            agent.participant = Participant::new(timing(), now);
        }
    }

    /// All engines leave the former formation and enter the next one.
    pub(super) fn form(&mut self) {
        self.formation += 1;
        for (rank, engine) in self.engines.iter_mut().enumerate() {
            let is_in = self.formed.contains(&rank);
            engine.state.formation = is_in.then_some(self.formation);
        }
    }

    /// An engine dies, and the others go on without it.
    fn lose_engine(&mut self) {
        let rank = self.rng.random_range(0..RANKS);
        if self.formed.len() > 1 && self.formed.remove(&rank) {
            self.engines[rank].alive = false;
            self.form();
        }
    }

    /// An engine is started again, after a loss or with nobody noticing one.
    fn restart_engine(&mut self) {
        let rank = self.rng.random_range(0..RANKS);
        let others = self.formed.iter().filter(|other| **other != rank);
        let step = others.map(|other| self.engines[*other].state.step).min();
        let Some(step) = step else { return };
        self.engines[rank] = engine(self.seed, rank, step);
        self.formed.insert(rank);
        self.form();
    }
}
