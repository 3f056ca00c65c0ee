//! A pool of idle connections.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::{Connection, PoolCounts};

/// A pool of idle connections to one target, most recently used last.
#[derive(Debug)]
pub struct Pool {
    max_kept: usize,
    max_idle: Duration,
    kept: Mutex<Vec<Kept>>,
    counts: PoolCounts,
}

#[derive(Debug)]
struct Kept {
    conn: Connection,
    idle_since: Instant,
}

impl Pool {
    /// Creates a pool that keeps at most `max_kept` connections, each for an idle time
    /// of at most `max_idle`.
    #[must_use]
    pub fn new(max_kept: usize, max_idle: Duration) -> Self {
        Pool {
            max_kept,
            max_idle,
            kept: Mutex::default(),
            counts: PoolCounts::default(),
        }
    }

    /// Counters of the pool's connections.
    #[must_use]
    pub fn counts(&self) -> &PoolCounts {
        &self.counts
    }

    /// Removes the most recently used connection. It may have been closed meanwhile.
    #[must_use]
    pub fn take(&self, now: Instant) -> Option<Connection> {
        let mut kept = self.kept();
        let last = kept.pop().filter(|last| self.is_fresh(last, now));
        if last.is_none() {
            // The remaining connections have been idle for even longer.
            self.counts.dropped.inc_by(kept.len() as u64);
            kept.clear();
        }
        self.counts.set_kept(kept.len());
        last.map(|last| last.conn)
    }

    /// Adds a connection whose last response has been read completely. The connection is
    /// closed if the pool is full or the target has closed it or sent anything more.
    pub fn put(&self, conn: Connection, now: Instant) {
        let mut kept = self.kept();
        if kept.len() < self.max_kept && conn.is_idle() {
            kept.push(Kept {
                conn,
                idle_since: now,
            });
            self.counts.set_kept(kept.len());
        }
    }

    /// Closes connections that were idle for too long, were closed by the target or
    /// have unsolicited bytes to read.
    pub fn evict_expired(&self, now: Instant) {
        let mut kept = self.kept();
        let before = kept.len();
        kept.retain(|kept| self.is_fresh(kept, now) && kept.conn.is_idle());
        self.counts.dropped.inc_by((before - kept.len()) as u64);
        self.counts.set_kept(kept.len());
    }

    /// Closes all connections, as they may lead to a target that no longer runs.
    pub fn clear(&self) {
        let mut kept = self.kept();
        self.counts.dropped.inc_by(kept.len() as u64);
        kept.clear();
        self.counts.set_kept(0);
    }

    fn is_fresh(&self, kept: &Kept, now: Instant) -> bool {
        now.saturating_duration_since(kept.idle_since) < self.max_idle
    }

    fn kept(&self) -> MutexGuard<'_, Vec<Kept>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
