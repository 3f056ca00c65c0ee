//! Paths of messages between the coordinator and the agents of a large group.

use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of agents with which the coordinator exchanges messages directly. In
/// smaller groups a relay saves less than the time of the further hop costs.
pub const MAX_DIRECT_AGENTS: usize = 24;

/// The agents of a group, divided into branches with a relay each.
///
/// A coordinator that sends every message to every agent itself would need most of
/// the bandwidth of its host in a group of a hundred ranks, and requests to the
/// target on that host would be delivered seconds late. In a group of more than
/// [`MAX_DIRECT_AGENTS`] agents it therefore sends each message to one agent of each
/// branch, which forwards it to the others. The number of branches is about the
/// square root of the number of agents, so that coordinator and relays send about
/// the same number of messages.
///
/// The agents of a branch are in one availability zone, so that what a relay merges or
/// forwards crosses zones once. They are consecutive in the order of ranks, so that a
/// lost agent changes only branches of its zone.
///
/// ```
/// use expert::RelayTree;
/// use std::collections::{BTreeMap, BTreeSet};
///
/// let ranks: BTreeMap<u32, String> = (0..100).map(|n| (n, format!("agent-{n:02}"))).collect();
/// let tree = RelayTree::new(&ranks, |_| "celje");
/// let all: BTreeSet<String> = ranks.values().cloned().collect();
/// let deliveries = tree.deliveries("agent-00", &all);
/// assert_eq!(deliveries.len(), 10);
/// assert_eq!(deliveries[3].via, "agent-30");
/// assert_eq!(deliveries[3].to.len(), 10);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayTree {
    branches: Vec<Branch>,
    branch_of: BTreeMap<String, usize>,
}

/// Some agents of a group, in the order of their ranks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Branch {
    agents: Vec<String>,
    /// Number of relays that were given up. The next agent is used in place of each.
    skipped: usize,
}

/// Recipients of a message that are reached through the same agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// The agent to which the message is sent.
    pub via: String,
    /// The recipients. If this is only `via` itself, nothing needs to be forwarded.
    pub to: Vec<String>,
}

impl RelayTree {
    /// Divides the agents of the given ranks into branches, given the zone of each agent.
    #[must_use]
    pub fn new<'a>(
        ranks: &'a BTreeMap<u32, String>,
        zone: impl Fn(&'a str) -> &'a str,
    ) -> RelayTree {
        let mut zones: BTreeMap<&str, Vec<(u32, &String)>> = BTreeMap::new();
        let mut known = BTreeSet::new();
        for (rank, agent) in ranks {
            if known.insert(agent) {
                zones.entry(zone(agent)).or_default().push((*rank, agent));
            }
        }
        if known.len() <= MAX_DIRECT_AGENTS {
            return RelayTree::default();
        }
        let per_zone = known.len().isqrt().div_ceil(zones.len().max(1));
        let mut tree = RelayTree::default();
        for agents in zones.values() {
            tree.add_zone(agents, per_zone);
        }
        tree
    }

    /// Adds a zone's agents, in the order of their ranks, as `count` branches at most.
    fn add_zone(&mut self, agents: &[(u32, &String)], count: usize) {
        let first = agents.first().map_or(0, |(rank, _)| *rank);
        let span = agents.last().map_or(1, |(rank, _)| rank + 1 - first);
        let mut branches = vec![Branch::default(); count];
        for (rank, agent) in agents {
            branches[index(rank - first) * count / index(span)]
                .agents
                .push((*agent).clone());
        }
        for branch in branches.into_iter().filter(|b| !b.agents.is_empty()) {
            let number = self.branches.len();
            let agents = branch.agents.iter().cloned();
            self.branch_of.extend(agents.map(|agent| (agent, number)));
            self.branches.push(branch);
        }
    }

    /// Adopts the relays that `previous` has given up, for branches with the same
    /// agents.
    #[must_use]
    pub fn with_skipped_relays_of(mut self, previous: &RelayTree) -> RelayTree {
        for (branch, before) in self.branches.iter_mut().zip(&previous.branches) {
            if branch.agents == before.agents {
                branch.skipped = before.skipped;
            }
        }
        self
    }

    /// Whether messages are forwarded by relays.
    #[must_use]
    pub fn has_relays(&self) -> bool {
        !self.branches.is_empty()
    }

    /// How a message of `me` reaches the recipients, which do not include `me`.
    #[must_use]
    pub fn deliveries(&self, me: &str, recipients: &BTreeSet<String>) -> Vec<Delivery> {
        let mut by_branch: BTreeMap<usize, Vec<String>> = BTreeMap::new();
        let mut deliveries = Vec::new();
        for name in recipients.iter().filter(|name| *name != me) {
            match self.branch_of.get(name) {
                Some(branch) => by_branch.entry(*branch).or_default().push(name.clone()),
                None => deliveries.push(direct(name)),
            }
        }
        for (branch, to) in by_branch {
            let via = self.branches[branch].relay(me);
            deliveries.extend(via.map(|via| Delivery { via, to }));
        }
        deliveries
    }

    /// Uses other relays for the branches from which no agent but `me` has answered.
    pub fn skip_silent_relays(&mut self, me: &str, unanswered: &BTreeSet<String>) {
        for branch in &mut self.branches {
            let mut others = branch.agents.iter().filter(|name| *name != me);
            if others.all(|name| unanswered.contains(name)) {
                branch.skipped += 1;
            }
        }
    }
}

impl Branch {
    /// The agent that forwards messages of `me` in this branch.
    fn relay(&self, me: &str) -> Option<String> {
        let candidates: Vec<&String> = self.agents.iter().filter(|name| *name != me).collect();
        let position = self.skipped.checked_rem(candidates.len())?;
        candidates.get(position).map(|name| (*name).clone())
    }
}

fn direct(name: &str) -> Delivery {
    Delivery {
        via: name.to_owned(),
        to: vec![name.to_owned()],
    }
}

fn index(rank: u32) -> usize {
    usize::try_from(rank).unwrap_or(usize::MAX)
}
