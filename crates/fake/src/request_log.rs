//! Bounded log of the requests received by a fake.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::RecordedRequest;

/// Most requests kept in full; counts cover all requests.
const MAX_RECORDED: usize = 4096;

#[derive(Debug, Default)]
pub(crate) struct RequestLog {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    recent: VecDeque<RecordedRequest>,
    counts: BTreeMap<(String, String), u64>,
}

impl RequestLog {
    /// Records a request and returns how many requests had the same idempotency
    /// key and path so far, this one included.
    pub fn push(&self, request: RecordedRequest) -> u64 {
        let mut inner = self.lock();
        let key = request.header("idempotency-key").unwrap_or_default();
        let id = (key.to_owned(), request.path.clone());
        let count = inner.counts.entry(id).or_default();
        *count += 1;
        let count = *count;
        if inner.recent.len() == MAX_RECORDED {
            inner.recent.pop_front();
        }
        inner.recent.push_back(request);
        count
    }

    pub fn list(&self) -> Vec<RecordedRequest> {
        self.lock().recent.iter().cloned().collect()
    }

    pub fn count(&self, key: &str, path: &str) -> u64 {
        let id = (key.to_owned(), path.to_owned());
        self.lock().counts.get(&id).copied().unwrap_or_default()
    }

    /// Idempotency key, path and number of all requests received.
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
