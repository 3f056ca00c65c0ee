//! Record of what reached a stand-in, bounded.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::RecordedRequest;

/// Requests that are kept whole; counts are kept for all.
const MAX_SEEN: usize = 4096;

#[derive(Debug, Default)]
pub(crate) struct SeenLog {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    last: VecDeque<RecordedRequest>,
    counts: BTreeMap<(String, String), u64>,
}

impl SeenLog {
    /// Remembers a request and returns how often its key and path came.
    pub fn push(&self, seen: RecordedRequest) -> u64 {
        let mut inner = self.lock();
        let key = seen.header("idempotency-key").unwrap_or_default();
        let id = (key.to_owned(), seen.path.clone());
        let count = inner.counts.entry(id).or_default();
        *count += 1;
        let count = *count;
        if inner.last.len() == MAX_SEEN {
            inner.last.pop_front();
        }
        inner.last.push_back(seen);
        count
    }

    pub fn list(&self) -> Vec<RecordedRequest> {
        self.lock().last.iter().cloned().collect()
    }

    pub fn count(&self, key: &str, path: &str) -> u64 {
        let id = (key.to_owned(), path.to_owned());
        self.lock().counts.get(&id).copied().unwrap_or_default()
    }

    /// Idempotency key, path and count of all that came.
    pub fn counts(&self) -> Vec<(String, String, u64)> {
        let inner = self.lock();
        let counts = inner.counts.iter();
        counts
            .map(|((key, path), count)| (key.clone(), path.clone(), *count))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
