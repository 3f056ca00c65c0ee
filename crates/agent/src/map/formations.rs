//! Formations reported by the engines of a group.

use std::collections::{BTreeMap, BTreeSet};

/// A set of ranks that run steps together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Formation {
    /// Number of the formation; 0 if the engines report none.
    pub number: u64,
    /// Ranks of the formation; all ranks of the group if the engines report none.
    pub ranks: BTreeSet<u32>,
}

/// The last formation that each agent's engine reported.
///
/// An engine may keep running while its agent is unreachable. The proof that a
/// rank runs no more steps of its group is a report from the other engines that
/// they have formed without it: a step needs all ranks of the formation, and an
/// engine can't take part in a formation that it isn't in.
#[derive(Debug, Default)]
pub(crate) struct Formations {
    reported: BTreeMap<String, Formation>,
}

impl Formations {
    /// Stores the formation that an agent's engine reported.
    pub fn update(&mut self, agent: &str, formation: Formation) {
        self.reported.insert(agent.to_owned(), formation);
    }

    /// Drops the reports of all other agents.
    pub fn retain_agents(&mut self, agents: &BTreeMap<String, std::net::SocketAddr>) {
        self.reported.retain(|agent, _| agents.contains_key(agent));
    }

    /// The newest formation.
    ///
    /// It may be outdated; each engine checks the number again before it holds at a
    /// barrier.
    pub fn newest(&self) -> Option<&Formation> {
        self.reported
            .values()
            .max_by_key(|formation| formation.number)
    }
}
