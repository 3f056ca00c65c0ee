//! Changes between two versions of the view.

use std::sync::Arc;

use crate::{Node, NodeKey};

/// Changes between two versions of the view.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ViewChanges {
    /// Nodes that were added or whose own data changed.
    pub nodes: Vec<Arc<Node>>,
    /// Nodes whose lease has expired.
    pub removed: Vec<NodeKey>,
}
