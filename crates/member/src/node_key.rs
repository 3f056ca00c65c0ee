//! Identity of a node across restarts.

use std::fmt;

use crate::Role;

/// Role and name of a node, which stay the same across restarts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeKey {
    /// The node's role.
    pub role: Role,
    /// Its name, unique within the role.
    pub name: String,
}

impl fmt::Display for NodeKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let role = match self.role {
            Role::Entry => "entry",
            Role::Agent => "agent",
        };
        write!(f, "{role} {}", self.name)
    }
}
