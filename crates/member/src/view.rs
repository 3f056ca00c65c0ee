//! The live nodes.

use std::sync::Arc;

use crate::{Node, NodeKey};

/// The live nodes as known to one leader.
///
/// Views are ordered by term, then by version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Term of the leader that created the view.
    pub term: u64,
    /// Number of the version within the term.
    pub version: u64,
    /// Whether the view is complete. Until then, a missing node must not be
    /// considered gone: it may not have renewed with the new leader yet.
    pub settled: bool,
    /// The nodes, ordered by key.
    pub nodes: Vec<Arc<Node>>,
}

impl View {
    /// Returns the node with this key.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use member::{Node, Role, View};
    ///
    /// let node = Node::new(Role::Entry, "entry-1", 42, "celje");
    /// let key = node.key.clone();
    /// let view = View { term: 1, version: 1, settled: true, nodes: vec![Arc::new(node)] };
    /// assert_eq!(view.node(&key).unwrap().incarnation, 42);
    /// ```
    #[must_use]
    pub fn node(&self, key: &NodeKey) -> Option<&Arc<Node>> {
        let position = self.nodes.binary_search_by(|node| node.key.cmp(key)).ok()?;
        self.nodes.get(position)
    }
}
