//! What a node tells of itself.

use std::net::SocketAddr;

use crate::{Announcement, NodeKey, Role};

/// What a node tells of itself with each lease renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// Role and name.
    pub key: NodeKey,
    /// Drawn anew at each start of the process.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Where the node accepts links.
    pub link_address: Option<SocketAddr>,
    /// Where an entry accepts callers.
    pub caller_address: Option<SocketAddr>,
    /// Whether it is shutting down and takes nothing new.
    pub leaving: bool,
    /// What stands behind an agent.
    pub announcement: Option<Announcement>,
}

impl Node {
    /// A node without addresses or target, to be filled in.
    ///
    /// ```
    /// let node = member::Node::new(member::Role::Agent, "advisor-01", 42, "allgaeu");
    /// assert_eq!(node.key.to_string(), "agent advisor-01");
    /// ```
    #[must_use]
    pub fn new(
        role: Role,
        name: impl Into<String>,
        incarnation: u64,
        zone: impl Into<String>,
    ) -> Self {
        Node {
            key: NodeKey {
                role,
                name: name.into(),
            },
            incarnation,
            zone: zone.into(),
            link_address: None,
            caller_address: None,
            leaving: false,
            announcement: None,
        }
    }
}
