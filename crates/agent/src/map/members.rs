//! The agents of one group.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use wire::proto::{MemberView, Role};

/// The live agents of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Members {
    /// Link address of each agent.
    pub addresses: BTreeMap<String, SocketAddr>,
    /// Engine address of each agent whose engine accepts commands from others.
    pub engines: BTreeMap<String, SocketAddr>,
    /// Availability zone of each agent.
    zones: BTreeMap<String, String>,
    /// The agent of each rank.
    ranks: BTreeMap<u32, String>,
}

impl Members {
    /// The members of a group in a member view.
    pub fn new(view: &MemberView, group: &str) -> Self {
        let mut members = Members::default();
        let agents = view.nodes.iter().filter(|node| node.role() == Role::Agent);
        for node in agents {
            let target = node.target.as_ref().filter(|target| target.group == group);
            let Some((target, address)) = target.zip(node.link_address.parse().ok()) else {
                continue;
            };
            let ranks = target.ranks.iter().map(|rank| (*rank, node.name.clone()));
            members.ranks.extend(ranks);
            members.addresses.insert(node.name.clone(), address);
            members.zones.insert(node.name.clone(), node.zone.clone());
            if let Ok(engine) = node.caller_address.parse() {
                members.engines.insert(node.name.clone(), engine);
            }
        }
        members
    }

    pub fn names(&self) -> BTreeSet<String> {
        self.addresses.keys().cloned().collect()
    }

    /// Name of the coordinating agent, which is the lowest name.
    pub fn coordinator_name(&self) -> Option<&str> {
        self.addresses.keys().next().map(String::as_str)
    }

    /// Whether the agent of each rank is known, in a group of `ranks` ranks.
    pub fn has_all(&self, ranks: u32) -> bool {
        ranks > 0 && (0..ranks).all(|rank| self.ranks.contains_key(&rank))
    }

    /// Host number of a rank: the index of its agent by name.
    pub fn host(&self, rank: u32) -> Option<u16> {
        let agent = self.ranks.get(&rank)?;
        let number = self.addresses.keys().position(|name| name == agent)?;
        u16::try_from(number).ok()
    }

    /// The agent of each rank that has one.
    pub fn agents_by_rank(&self) -> &BTreeMap<u32, String> {
        &self.ranks
    }

    /// Availability zone of an agent; empty if it is unknown.
    pub fn zone(&self, agent: &str) -> &str {
        self.zones.get(agent).map_or("", String::as_str)
    }

    /// Name of the agent of a rank.
    pub fn agent(&self, rank: u32) -> Option<String> {
        self.ranks.get(&rank).cloned()
    }
}
