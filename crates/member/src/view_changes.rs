//! What changed between two versions of the view.

use std::sync::Arc;

use crate::{Node, NodeKey};

/// What changed between two versions of the view.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ViewChanges {
    /// Nodes that are new or tell something else of themselves.
    pub nodes: Vec<Arc<Node>>,
    /// Nodes whose lease has run out.
    pub removed: Vec<NodeKey>,
}
