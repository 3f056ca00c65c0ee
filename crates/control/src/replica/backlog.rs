//! What every replica should hold by now.

use std::time::{Duration, Instant};

/// The entries that were committed so long ago that a replica without them is
/// behind: between one and two lags, since only one commit is remembered.
///
/// Were the newest commit asked for, a replica would be behind for a moment
/// after each command, and under a steady load for ever: an operator who waits
/// for the end of a repair would never see it.
#[derive(Debug)]
pub(crate) struct Backlog {
    lag: Duration,
    due: u64,
    /// Committed at that time, due a lag later.
    next: (Instant, u64),
}

impl Backlog {
    /// For a leader that begins with that last entry: whatever came before it
    /// is due at once, since nobody knows for how long it has been committed.
    pub(crate) fn new(last: u64, lag: Duration, now: Instant) -> Backlog {
        Backlog {
            lag,
            due: last,
            next: (now, last),
        }
    }

    /// All up to `commit` is committed now.
    pub(crate) fn note(&mut self, commit: u64, now: Instant) {
        let (since, index) = self.next;
        if now.saturating_duration_since(since) < self.lag {
            return;
        }
        self.due = self.due.max(index);
        self.next = (now, commit);
    }

    /// Last entry that every replica should hold.
    pub(crate) fn due(&self) -> u64 {
        self.due
    }
}
