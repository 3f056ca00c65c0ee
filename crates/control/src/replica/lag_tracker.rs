//! Tracking of which entries every replica should hold by now.

use std::time::{Duration, Instant};

/// Tracks the entries committed so long ago that a replica without them is behind.
///
/// An entry becomes required between one and two times `max_lag` after its commit,
/// because only one commit is remembered at a time. If the newest commit were required,
/// a replica would be behind for a moment after each command, and permanently under a
/// steady load: an operator who waits for a repair to complete would never see it.
#[derive(Debug)]
pub(crate) struct LagTracker {
    max_lag: Duration,
    required: u64,
    /// Time of a commit and its index, which becomes required `max_lag` later.
    next: (Instant, u64),
}

impl LagTracker {
    /// Creates the tracker of a new leader whose last entry is `last_index`. All entries
    /// up to it are required at once, because it is not known when they were committed.
    pub(crate) fn new(last_index: u64, max_lag: Duration, now: Instant) -> LagTracker {
        LagTracker {
            max_lag,
            required: last_index,
            next: (now, last_index),
        }
    }

    /// Records that all entries up to `commit_index` are committed.
    pub(crate) fn record_commit(&mut self, commit_index: u64, now: Instant) {
        let (since, index) = self.next;
        if now.saturating_duration_since(since) < self.max_lag {
            return;
        }
        self.required = self.required.max(index);
        self.next = (now, commit_index);
    }

    /// Returns the index of the last entry that every replica should hold.
    pub(crate) fn required_index(&self) -> u64 {
        self.required
    }
}
