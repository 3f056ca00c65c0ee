//! Continuous batching: the running requests and the steps that they share.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::{Semaphore, SemaphorePermit, watch};

/// Most cached prompt prefixes.
const MAX_CACHED_PREFIXES: usize = 64;

/// Most cache events kept for readers.
const MAX_CACHE_EVENTS: usize = 1024;

#[derive(Debug)]
pub(crate) struct Batch {
    max_running: u32,
    slots: Semaphore,
    queued: AtomicU32,
    /// Running requests by rank.
    running: Mutex<BTreeMap<u32, u32>>,
    /// The last completed step.
    pub step: watch::Sender<u64>,
    /// IDs of the requests cancelled through `POST /cancel`.
    pub cancelled: watch::Sender<BTreeSet<String>>,
    cache: Mutex<Cache>,
}

/// Cached prompt prefixes, oldest first, and the latest changes.
#[derive(Debug, Default)]
struct Cache {
    sequence: u64,
    prefixes: VecDeque<u64>,
    events: VecDeque<(u64, CacheEvent)>,
}

#[derive(Debug)]
enum CacheEvent {
    Stored(u64),
    Evicted(u64),
}

impl Batch {
    pub fn new(max_running: u32) -> Self {
        Batch {
            max_running,
            slots: Semaphore::new(max_running as usize),
            queued: AtomicU32::new(0),
            running: Mutex::new(BTreeMap::new()),
            step: watch::Sender::new(0),
            cancelled: watch::Sender::new(BTreeSet::new()),
            cache: Mutex::new(Cache::default()),
        }
    }

    /// Waits for a free slot in the batch.
    pub async fn acquire_slot(&self, rank: u32) -> Option<Slot<'_>> {
        let guard = QueuedGuard::new(&self.queued);
        let permit = self.slots.acquire().await.ok()?;
        drop(guard);
        *lock(&self.running).entry(rank).or_default() += 1;
        Some(Slot {
            batch: self,
            rank,
            _permit: permit,
        })
    }

    pub fn cache_prefix(&self, prefix: u64) {
        let mut cache = lock(&self.cache);
        if cache.prefixes.contains(&prefix) {
            return;
        }
        cache.prefixes.push_back(prefix);
        cache.record(CacheEvent::Stored(prefix));
        if cache.prefixes.len() > MAX_CACHED_PREFIXES
            && let Some(oldest) = cache.prefixes.pop_front()
        {
            cache.record(CacheEvent::Evicted(oldest));
        }
    }

    pub fn cache_events(&self, after: u64) -> Value {
        let cache = lock(&self.cache);
        let (mut stored, mut evicted) = (Vec::new(), Vec::new());
        for (_, event) in cache
            .events
            .iter()
            .filter(|(sequence, _)| *sequence > after)
        {
            match event {
                CacheEvent::Stored(prefix) => stored.push(prefix),
                CacheEvent::Evicted(prefix) => evicted.push(prefix),
            }
        }
        json!({"sequence": cache.sequence, "stored": stored, "evicted": evicted})
    }

    pub fn load_report(&self, ranks: &[u32], step_time: Duration) -> Value {
        let running = lock(&self.running).clone();
        let queued = self.queued.load(Ordering::Relaxed);
        let total: u32 = running.values().sum();
        let step_us = u64::try_from(step_time.as_micros()).unwrap_or(u64::MAX);
        let ranks: Vec<Value> = ranks
            .iter()
            .map(|rank| {
                let running = running.get(rank).copied().unwrap_or_default();
                json!({
                    "rank": rank,
                    "running": running,
                    "queued_tokens": 0,
                    "kv_used_permille": 1000 * running / self.max_running.max(1),
                    "step_us": step_us,
                })
            })
            .collect();
        json!({"ranks": ranks, "running": total, "queued": queued, "limit": self.max_running})
    }
}

impl Cache {
    fn record(&mut self, event: CacheEvent) {
        self.sequence += 1;
        self.events.push_back((self.sequence, event));
        if self.events.len() > MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
    }
}

/// A slot in the batch, released when dropped.
#[derive(Debug)]
pub(crate) struct Slot<'a> {
    batch: &'a Batch,
    rank: u32,
    _permit: SemaphorePermit<'a>,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut running = lock(&self.batch.running);
        if let Some(count) = running.get_mut(&self.rank) {
            *count -= 1;
        }
    }
}

/// Counts a request as queued until dropped.
struct QueuedGuard<'a>(&'a AtomicU32);

impl<'a> QueuedGuard<'a> {
    fn new(queued: &'a AtomicU32) -> Self {
        queued.fetch_add(1, Ordering::Relaxed);
        QueuedGuard(queued)
    }
}

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
