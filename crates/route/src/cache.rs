//! Which prompt prefixes a target may hold in its cache.

use std::collections::{BTreeMap, VecDeque};

use crate::Prefix;

/// Prefixes remembered for each target.
const MAX_PREFIXES: usize = 4096;

/// Hints about the prefix cache of one target.
///
/// They come from what was sent there and from the target's cache events,
/// which arrive late and with gaps. They only ever shift a preference.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    sequence: Option<u64>,
    held: BTreeMap<u64, u32>,
    order: VecDeque<u64>,
}

impl Cache {
    /// Tokens of the prefix that need no prefill.
    pub(crate) fn cached(&self, prefix: Option<Prefix>) -> u32 {
        let Some(prefix) = prefix else { return 0 };
        let held = self.held.get(&prefix.hash);
        held.map_or(0, |tokens| (*tokens).min(prefix.tokens))
    }

    pub(crate) fn sent(&mut self, prefix: Option<Prefix>) {
        if let Some(prefix) = prefix {
            self.hold(prefix.hash, prefix.tokens);
        }
    }

    /// Takes the events with `sequence`. After a gap nothing that was known
    /// still holds: a prefix may have been evicted unheard.
    pub(crate) fn events(&mut self, sequence: u64, stored: &[u64], evicted: &[u64]) {
        if self.sequence.is_some_and(|last| sequence <= last) {
            return;
        }
        if self.sequence.is_some_and(|last| sequence != last + 1) {
            self.held.clear();
            self.order.clear();
        }
        self.sequence = Some(sequence);
        for hash in evicted {
            self.held.remove(hash);
        }
        for hash in stored {
            self.hold(*hash, u32::MAX);
        }
    }

    fn hold(&mut self, hash: u64, tokens: u32) {
        if self.held.insert(hash, tokens).is_some() {
            return;
        }
        self.order.push_back(hash);
        while self.order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.order.pop_front() {
                self.held.remove(&oldest);
            }
        }
    }
}
