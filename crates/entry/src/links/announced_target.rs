//! A target as announced by its agent in the member view.

use std::net::SocketAddr;

use note::Assignment;
use wire::proto::{MemberView, NodeInfo, Role};

/// A target as announced by its live agent.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AnnouncedTarget {
    pub(crate) target: String,
    pub(crate) incarnation: u64,
    pub(crate) zone: String,
    pub(crate) address: SocketAddr,
    pub(crate) offer: Assignment,
    pub(crate) leaving: bool,
    pub(crate) healthy: bool,
    pub(crate) can_resume: bool,
    pub(crate) ranks: Vec<u32>,
    pub(crate) adapters: Vec<String>,
    pub(crate) versions: Vec<String>,
}

impl AnnouncedTarget {
    /// Converts a node; `None` if it is not an agent or its announcement is invalid.
    pub(crate) fn from_node(node: &NodeInfo) -> Option<Self> {
        if node.role() != Role::Agent {
            return None;
        }
        let target = node.target.as_ref()?;
        let offer = if target.group.is_empty() {
            Assignment::Service(target.service.clone())
        } else {
            Assignment::Group(target.group.clone())
        };
        Some(AnnouncedTarget {
            target: target.target.clone(),
            incarnation: node.incarnation,
            zone: node.zone.clone(),
            address: node.link_address.parse().ok()?,
            offer,
            leaving: node.leaving,
            healthy: target.healthy,
            can_resume: target.can_resume,
            ranks: target.ranks.clone(),
            adapters: target.adapters.clone(),
            versions: target.versions.clone(),
        })
    }

    /// Converts all agents of a view.
    pub(crate) fn from_view(view: &MemberView) -> Vec<Self> {
        view.nodes.iter().filter_map(Self::from_node).collect()
    }
}
