//! What a node reports about itself.

use std::net::SocketAddr;

use crate::{Announcement, NodeKey, Role};

/// What a node reports about itself with each lease renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// Role and name.
    pub key: NodeKey,
    /// Random number generated at each start of the process.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Address at which the node accepts links.
    pub link_address: Option<SocketAddr>,
    /// Address at which an entry accepts callers.
    pub caller_address: Option<SocketAddr>,
    /// Whether it is shutting down and accepts no new work.
    pub leaving: bool,
    /// The target of an agent.
    pub announcement: Option<Announcement>,
}

impl Node {
    /// Creates a node without addresses or target.
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
