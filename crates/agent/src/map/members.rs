//! The agents of one group.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use wire::proto::{MemberView, Role};

/// The agents of one group that are known to live.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Members {
    /// Where each accepts links.
    pub addresses: BTreeMap<String, SocketAddr>,
    /// Where the engine of each answers, if others may give it orders.
    pub engines: BTreeMap<String, SocketAddr>,
    /// The agent that each rank is with.
    ranks: BTreeMap<u32, String>,
}

impl Members {
    /// As a member view tells.
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
            if let Ok(engine) = node.caller_address.parse() {
                members.engines.insert(node.name.clone(), engine);
            }
        }
        members
    }

    pub fn names(&self) -> BTreeSet<String> {
        self.addresses.keys().cloned().collect()
    }

    /// The agent that coordinates.
    pub fn lowest(&self) -> Option<&str> {
        self.addresses.keys().next().map(String::as_str)
    }

    /// Whether the agent of each rank is known, in a group of so many.
    pub fn has_all(&self, ranks: u32) -> bool {
        ranks > 0 && (0..ranks).all(|rank| self.ranks.contains_key(&rank))
    }

    /// Number of the agent that a rank is with.
    pub fn host(&self, rank: u32) -> Option<u16> {
        let agent = self.ranks.get(&rank)?;
        let number = self.addresses.keys().position(|name| name == agent)?;
        u16::try_from(number).ok()
    }

    /// Name of that agent.
    pub fn agent(&self, rank: u32) -> Option<String> {
        self.ranks.get(&rank).cloned()
    }
}
