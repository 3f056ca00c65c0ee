//! Rollout status of a release note.

use crate::NodeKey;

/// Rollout status of a release note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoteRollout {
    /// Whether every node that may take work uses this note or a later one.
    pub everywhere: bool,
    /// Nodes with a live lease that use an earlier note.
    pub lagging: Vec<NodeKey>,
}
