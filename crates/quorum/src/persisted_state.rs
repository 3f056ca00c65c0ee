//! State that a replica starts from.

use crate::{Entry, HardState, Snapshot};

/// State that a replica reads from its disk at start; empty on a blank disk.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}
