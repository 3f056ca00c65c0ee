//! What a replica wants synced.

use crate::{Entry, HardState, Snapshot};

/// What a replica wants synced, as one: the snapshot, the hard state, then
/// the entries. An entry replaces all of the same index and after.
#[derive(Clone, Debug)]
pub struct Write {
    /// Order number, given back to [`Node::persisted`](crate::Node::persisted).
    pub number: u64,
    /// A snapshot received from the leader; the log before it goes, and all
    /// after it as well.
    pub snapshot: Option<Snapshot>,
    /// Term and vote.
    pub hard_state: HardState,
    /// Entries to append.
    pub entries: Vec<Entry>,
}
