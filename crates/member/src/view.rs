//! The nodes that live.

use std::sync::Arc;

use crate::{Node, NodeKey};

/// The nodes that live, as one leader knows them.
///
/// Views are ordered by term, then version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Term of the leader that made it.
    pub term: u64,
    /// Counts the changes within the term.
    pub version: u64,
    /// Until this is set, what is missing must not be taken for gone: it may
    /// not have reached the new leader yet.
    pub settled: bool,
    /// The nodes, in order of their keys.
    pub nodes: Vec<Arc<Node>>,
}

impl View {
    /// The node of this key.
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
