//! Connections that are kept between two calls.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::{Connection, PoolCounts};

/// Connections that are kept between two calls, the latest used last.
#[derive(Debug)]
pub struct Pool {
    most: usize,
    idle: Duration,
    kept: Mutex<Vec<Kept>>,
    counts: PoolCounts,
}

#[derive(Debug)]
struct Kept {
    conn: Connection,
    since: Instant,
}

impl Pool {
    /// Keeps at most `most` connections, each for at most `idle` unused.
    #[must_use]
    pub fn new(most: usize, idle: Duration) -> Self {
        Pool {
            most,
            idle,
            kept: Mutex::default(),
            counts: PoolCounts::default(),
        }
    }

    /// Counts of its connections.
    #[must_use]
    pub fn counts(&self) -> &PoolCounts {
        &self.counts
    }

    /// The connection that was used last; whether it still stands isn't known.
    #[must_use]
    pub fn take(&self, now: Instant) -> Option<Connection> {
        let mut kept = self.kept();
        let last = kept.pop().filter(|last| self.is_fresh(last, now));
        if last.is_none() {
            // Those below were used even earlier.
            self.counts.dropped.inc_by(kept.len() as u64);
            kept.clear();
        }
        self.counts.set_kept(kept.len());
        last.map(|last| last.conn)
    }

    /// Keeps a connection whose answer has been read to its end.
    pub fn put(&self, conn: Connection, now: Instant) {
        let mut kept = self.kept();
        if kept.len() < self.most && conn.is_idle() {
            kept.push(Kept { conn, since: now });
            self.counts.set_kept(kept.len());
        }
    }

    /// Closes what was kept for too long.
    pub fn evict_expired(&self, now: Instant) {
        let mut kept = self.kept();
        let before = kept.len();
        kept.retain(|kept| self.is_fresh(kept, now) && kept.conn.is_idle());
        self.counts.dropped.inc_by((before - kept.len()) as u64);
        self.counts.set_kept(kept.len());
    }

    /// Closes all: they may lead to a target that is gone.
    pub fn clear(&self) {
        let mut kept = self.kept();
        self.counts.dropped.inc_by(kept.len() as u64);
        kept.clear();
        self.counts.set_kept(0);
    }

    fn is_fresh(&self, kept: &Kept, now: Instant) -> bool {
        now.saturating_duration_since(kept.since) < self.idle
    }

    fn kept(&self) -> MutexGuard<'_, Vec<Kept>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
