//! Attempts that must never start any more.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use ledger::Attempt;

/// Why an attempt must never start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tombstone {
    /// It was barred before it started.
    Barred,
    /// It ended, and its answer is no longer kept.
    Forgotten,
}

/// Attempts that must never start any more, bounded in number and time.
///
/// A start that was held up on its way must not run what was barred, or was
/// run before. None is dropped before its time to make room for another:
/// when there is no room, the caller has to do without what it wanted to
/// enter, and so nothing can be run twice.
#[derive(Debug)]
pub struct Tombstones {
    limit: usize,
    keep: Duration,
    entries: BTreeMap<Attempt, Tombstone>,
    order: VecDeque<(Instant, Attempt)>,
}

impl Tombstones {
    /// An empty record of at most `limit` attempts, each held for `keep`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use agent::{Tombstone, Tombstones};
    /// use ledger::Attempt;
    ///
    /// let now = Instant::now();
    /// let mut tombstones = Tombstones::new(1, Duration::from_secs(60));
    /// assert!(tombstones.insert(Attempt(1), Tombstone::Barred, now));
    /// assert!(!tombstones.insert(Attempt(2), Tombstone::Barred, now));
    /// assert_eq!(tombstones.get(Attempt(1)), Some(Tombstone::Barred));
    /// ```
    #[must_use]
    pub fn new(limit: usize, keep: Duration) -> Self {
        Tombstones {
            limit,
            keep,
            entries: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Enters an attempt, and says whether it is in the record now. The first
    /// entry of an attempt stays.
    pub fn insert(&mut self, attempt: Attempt, tombstone: Tombstone, now: Instant) -> bool {
        self.expire(now);
        if self.entries.contains_key(&attempt) {
            return true;
        }
        if self.is_full() {
            return false;
        }
        self.entries.insert(attempt, tombstone);
        self.order.push_back((now, attempt));
        true
    }

    /// What stands for an attempt.
    #[must_use]
    pub fn get(&self, attempt: Attempt) -> Option<Tombstone> {
        self.entries.get(&attempt).copied()
    }

    /// Whether there is no room.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.limit
    }

    /// Number of attempts in the record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops what has been held for long enough.
    pub fn expire(&mut self, now: Instant) {
        while let Some((entered, attempt)) = self.order.front() {
            if now.saturating_duration_since(*entered) < self.keep {
                break;
            }
            self.entries.remove(attempt);
            self.order.pop_front();
        }
    }
}
