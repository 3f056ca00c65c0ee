//! A node that holds a lease.

use std::sync::Arc;
use std::time::Instant;

use crate::Node;

/// A node that holds a lease.
#[derive(Debug, Clone)]
pub struct Member {
    /// What it last told of itself.
    pub node: Arc<Node>,
    /// Number of the note in force there.
    pub note: u64,
    /// When its lease ends unless it is renewed.
    pub expires: Instant,
}
