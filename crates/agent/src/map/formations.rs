//! Which ranks step together, as their engines tell.

use std::collections::{BTreeMap, BTreeSet};

/// Which ranks step together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Formation {
    /// Number of the formation; 0 if the engines tell none.
    pub number: u64,
    /// Its ranks; if the engines tell none, all of the group.
    pub ranks: BTreeSet<u32>,
}

/// The formation that each agent's engine last told.
///
/// That an agent can't be reached doesn't mean that its engine stands still.
/// What proves that a rank runs no more steps of its group is the word of the
/// others' engines that they have formed without it: a step needs all ranks of
/// the formation, and an engine can't step along in one that it isn't in.
#[derive(Debug, Default)]
pub(crate) struct Formations {
    told: BTreeMap<String, Formation>,
}

impl Formations {
    /// Takes in what an agent's engine told.
    pub fn take(&mut self, agent: &str, formation: Formation) {
        self.told.insert(agent.to_owned(), formation);
    }

    /// Forgets what was told by others than these agents.
    pub fn keep(&mut self, agents: &BTreeMap<String, std::net::SocketAddr>) {
        self.told.retain(|agent, _| agents.contains_key(agent));
    }

    /// The newest formation.
    ///
    /// It may be out of date: each engine checks the number once more when it
    /// promises to stop before a barrier.
    pub fn newest(&self) -> Option<&Formation> {
        self.told.values().max_by_key(|formation| formation.number)
    }
}
