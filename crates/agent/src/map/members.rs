//! The agents of one group.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use wire::proto::{MemberView, Role};

/// The agents of one group that are known to live.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Members {
    /// Where each accepts links.
    pub addresses: BTreeMap<String, SocketAddr>,
    /// Number of the agent that each rank is with.
    ranks: BTreeMap<u32, u16>,
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
            let number = u16::try_from(members.addresses.len()).unwrap_or(u16::MAX);
            let ranks = target.ranks.iter().map(|rank| (*rank, number));
            members.ranks.extend(ranks);
            members.addresses.insert(node.name.clone(), address);
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

    /// The agent of each rank, if all `ranks` of the group are there.
    ///
    /// An engine whose agent can't be reached may run on all the same, so
    /// without it no switch may begin.
    pub fn hosts(&self, ranks: u32) -> Option<Vec<u16>> {
        (0..ranks)
            .map(|rank| self.ranks.get(&rank).copied())
            .collect()
    }
}
