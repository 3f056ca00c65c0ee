//! Continuous batching: the requests that run, and the steps they share.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::{Semaphore, SemaphorePermit, watch};

/// Cached prompt prefixes at most.
const MAX_CACHED: usize = 64;

/// Cache events that are kept for readers at most.
const MAX_EVENTS: usize = 1024;

#[derive(Debug)]
pub(crate) struct Batch {
    limit: u32,
    slots: Semaphore,
    queued: AtomicU32,
    running: Mutex<BTreeMap<u32, u32>>,
    /// The last step that ran.
    pub step: watch::Sender<u64>,
    /// Requests that were cancelled by order.
    pub cancelled: watch::Sender<BTreeSet<String>>,
    cache: Mutex<Cache>,
}

/// Cached prefixes, oldest first, and what changed.
#[derive(Debug, Default)]
struct Cache {
    sequence: u64,
    held: VecDeque<u64>,
    events: VecDeque<(u64, CacheEvent)>,
}

#[derive(Debug)]
enum CacheEvent {
    Stored(u64),
    Evicted(u64),
}

impl Batch {
    pub fn new(limit: u32) -> Self {
        Batch {
            limit,
            slots: Semaphore::new(limit as usize),
            queued: AtomicU32::new(0),
            running: Mutex::new(BTreeMap::new()),
            step: watch::Sender::new(0),
            cancelled: watch::Sender::new(BTreeSet::new()),
            cache: Mutex::new(Cache::default()),
        }
    }

    /// Waits for a place in the batch.
    pub async fn enter(&self, rank: u32) -> Option<Slot<'_>> {
        let queued = Queued::new(&self.queued);
        let permit = self.slots.acquire().await.ok()?;
        drop(queued);
        *lock(&self.running).entry(rank).or_default() += 1;
        Some(Slot {
            batch: self,
            rank,
            _permit: permit,
        })
    }

    pub fn store(&self, prefix: u64) {
        let mut cache = lock(&self.cache);
        if cache.held.contains(&prefix) {
            return;
        }
        cache.held.push_back(prefix);
        cache.note(CacheEvent::Stored(prefix));
        if cache.held.len() > MAX_CACHED
            && let Some(oldest) = cache.held.pop_front()
        {
            cache.note(CacheEvent::Evicted(oldest));
        }
    }

    pub fn cache_events(&self, after: u64) -> Value {
        let cache = lock(&self.cache);
        let (mut stored, mut evicted) = (Vec::new(), Vec::new());
        for (_, event) in cache.events.iter().filter(|(at, _)| *at > after) {
            match event {
                CacheEvent::Stored(prefix) => stored.push(prefix),
                CacheEvent::Evicted(prefix) => evicted.push(prefix),
            }
        }
        json!({"sequence": cache.sequence, "stored": stored, "evicted": evicted})
    }

    pub fn load(&self, ranks: &[u32], step: Duration) -> Value {
        let running = lock(&self.running).clone();
        let queued = self.queued.load(Ordering::Relaxed);
        let total: u32 = running.values().sum();
        let step_us = u64::try_from(step.as_micros()).unwrap_or(u64::MAX);
        let ranks: Vec<Value> = ranks
            .iter()
            .map(|rank| {
                let running = running.get(rank).copied().unwrap_or_default();
                json!({
                    "rank": rank,
                    "running": running,
                    "queued_tokens": 0,
                    "kv_used_permille": 1000 * running / self.limit.max(1),
                    "step_us": step_us,
                })
            })
            .collect();
        json!({"ranks": ranks, "running": total, "queued": queued, "limit": self.limit})
    }
}

impl Cache {
    fn note(&mut self, event: CacheEvent) {
        self.sequence += 1;
        self.events.push_back((self.sequence, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

/// A place in the batch, free again when dropped.
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

struct Queued<'a>(&'a AtomicU32);

impl<'a> Queued<'a> {
    fn new(queued: &'a AtomicU32) -> Self {
        queued.fetch_add(1, Ordering::Relaxed);
        Queued(queued)
    }
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
