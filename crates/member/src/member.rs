//! A node that holds a lease.

use std::sync::Arc;
use std::time::Instant;

use crate::Node;

/// A node that holds a lease.
#[derive(Debug, Clone)]
pub struct Member {
    /// The node as of its last renewal.
    pub node: Arc<Node>,
    /// Number of the release note in use on the node.
    pub note: u64,
    /// Time at which its lease ends unless it is renewed.
    pub expires: Instant,
}
