//! Pending actions of a replica.

use crate::{Entry, Message, Snapshot, Write};

/// Actions that the caller carries out for a replica, in the order of the
/// fields.
#[derive(Debug, Default)]
pub struct Ready {
    /// Write to persist. Call [`Node::persisted`](crate::Node::persisted) once
    /// it is synced.
    pub write: Option<Write>,
    /// Messages to send now. Messages that depend on unsynced state are
    /// returned later.
    pub messages: Vec<Message>,
    /// Snapshot from which the state machine is restored.
    pub restore: Option<Snapshot>,
    /// Committed entries to apply to the state machine.
    pub committed: Vec<Entry>,
    /// Reads as (token, index). A read may be answered once the state machine
    /// has applied the entry at the index.
    pub confirmed_reads: Vec<(u64, u64)>,
    /// Tokens of reads that this replica can no longer answer.
    pub refused_reads: Vec<u64>,
}

impl Ready {
    /// Returns whether there is nothing to do.
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
