//! How far a note has come.

use crate::NodeKey;

/// How far a note has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoteRollout {
    /// Whether every node that may take work acts on this note or a later one.
    pub everywhere: bool,
    /// Nodes with a live lease that act on an earlier note.
    pub lagging: Vec<NodeKey>,
}
