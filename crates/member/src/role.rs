//! Roles of nodes that hold a lease.

/// Role of a node that holds a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Accepts requests of callers.
    Entry,
    /// Forwards requests to one target.
    Agent,
}
