//! What a replica finds on its disk at start.

use crate::{Entry, HardState, Snapshot};

/// What a replica finds on its disk at start; nothing on a blank one.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it.
    pub entries: Vec<Entry>,
}
