//! What a replica wants done.

use crate::{Entry, Message, Snapshot, Write};

/// What a replica wants done, in the order of the fields.
#[derive(Debug, Default)]
pub struct Ready {
    /// To be synced; then [`Node::persisted`](crate::Node::persisted) is due.
    pub write: Option<Write>,
    /// To be sent now. What promises something unsynced is not yet here.
    pub messages: Vec<Message>,
    /// The state machine starts anew from this.
    pub restore: Option<Snapshot>,
    /// To be applied to the state machine.
    pub committed: Vec<Entry>,
    /// Reads that may be answered once the state machine has applied the
    /// index: (token, index).
    pub confirmed_reads: Vec<(u64, u64)>,
    /// Tokens of reads that this replica can't answer any more.
    pub refused_reads: Vec<u64>,
}

impl Ready {
    /// Whether nothing is wanted.
    ///
    /// ```
    /// assert!(quorum::Ready::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.write.is_none()
            && self.messages.is_empty()
            && self.restore.is_none()
            && self.committed.is_empty()
            && self.confirmed_reads.is_empty()
            && self.refused_reads.is_empty()
    }
}
