//! Remembers attempts that must never start.

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

/// Attempts that must never start, bounded in number and time.
///
/// A start message that is delayed must not run an attempt that was barred or has
/// already run. No tombstone is dropped early to make room for another: when the
/// record is full, an insertion fails, so that nothing can run twice.
#[derive(Debug)]
pub struct Tombstones {
    limit: usize,
    retention: Duration,
    entries: BTreeMap<Attempt, Tombstone>,
    order: VecDeque<(Instant, Attempt)>,
}

impl Tombstones {
    /// An empty record of at most `limit` attempts, each kept for `retention`.
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
    pub fn new(limit: usize, retention: Duration) -> Self {
        Tombstones {
            limit,
            retention,
            entries: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Adds an attempt and returns whether it is in the record now. The first
    /// tombstone of an attempt stays.
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

    /// The tombstone of an attempt.
    #[must_use]
    pub fn get(&self, attempt: Attempt) -> Option<Tombstone> {
        self.entries.get(&attempt).copied()
    }

    /// Whether the record is full.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.limit
    }

    /// Number of attempts in the record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the record is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops tombstones that have been kept for the retention time.
    pub fn expire(&mut self, now: Instant) {
        while let Some((entered, attempt)) = self.order.front() {
            if now.saturating_duration_since(*entered) < self.retention {
                break;
            }
            self.entries.remove(attempt);
            self.order.pop_front();
        }
    }
}
