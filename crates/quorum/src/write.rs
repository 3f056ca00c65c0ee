//! Writes to persist.

use crate::{Entry, HardState, Snapshot};

/// A write to persist as a unit: the snapshot, then the hard state, then the
/// entries. An entry replaces all entries at the same and higher indices.
#[derive(Clone, Debug)]
pub struct Write {
    /// Sequence number to pass to [`Node::persisted`](crate::Node::persisted).
    pub number: u64,
    /// Snapshot received from the leader. It replaces the whole log.
    pub snapshot: Option<Snapshot>,
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// Whether only the commit index has changed. Nothing depends on such a write, and it
    /// may be left out.
    pub commit_only: bool,
}
