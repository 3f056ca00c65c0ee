//! Estimated contents of a target's prefix cache.

use std::collections::{BTreeMap, VecDeque};

use crate::Prefix;

/// Maximum number of prefixes remembered per target.
const MAX_PREFIXES: usize = 4096;

/// Estimated contents of one target's prefix cache.
///
/// The estimate is based on the requests sent there and on the target's cache
/// events, which arrive late and with gaps. It only influences preferences and
/// never excludes a target.
#[derive(Debug, Default)]
pub(crate) struct CacheEstimate {
    sequence: Option<u64>,
    /// Cached tokens by prefix hash.
    entries: BTreeMap<u64, u32>,
    /// Prefix hashes in order of insertion.
    insertion_order: VecDeque<u64>,
}

impl CacheEstimate {
    /// Number of tokens of the prefix that need no prefill.
    pub(crate) fn cached(&self, prefix: Option<Prefix>) -> u32 {
        let Some(prefix) = prefix else { return 0 };
        let cached = self.entries.get(&prefix.hash);
        cached.map_or(0, |tokens| (*tokens).min(prefix.tokens))
    }

    pub(crate) fn record_sent(&mut self, prefix: Option<Prefix>) {
        if let Some(prefix) = prefix {
            self.insert(prefix.hash, prefix.tokens);
        }
    }

    /// Applies the cache events with number `sequence`. A gap in the sequence
    /// clears the estimate, since a missed event may have evicted any prefix.
    pub(crate) fn apply_events(&mut self, sequence: u64, stored: &[u64], evicted: &[u64]) {
        if self.sequence.is_some_and(|last| sequence <= last) {
            return;
        }
        if self.sequence.is_some_and(|last| sequence != last + 1) {
            self.entries.clear();
            self.insertion_order.clear();
        }
        self.sequence = Some(sequence);
        for hash in evicted {
            self.entries.remove(hash);
        }
        for hash in stored {
            self.insert(*hash, u32::MAX);
        }
    }

    fn insert(&mut self, hash: u64, tokens: u32) {
        if self.entries.insert(hash, tokens).is_some() {
            return;
        }
        self.insertion_order.push_back(hash);
        while self.insertion_order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.entries.remove(&oldest);
            }
        }
    }
}
