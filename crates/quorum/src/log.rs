//! In-memory part of the log.

use crate::Entry;
use std::collections::VecDeque;

/// The log entries after a base index that a snapshot covers.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    /// Size of all entries up to each of `entries`, in bytes, counted from the first one
    /// that was pushed.
    sizes: VecDeque<usize>,
}

impl Log {
    pub(crate) fn new(base_index: u64, base_term: u64) -> Log {
        Log {
            base_index,
            base_term,
            ..Log::default()
        }
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the term of the entry, or `None` if it is before the base or
    /// after the end.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        let before = self.sizes.back().copied().unwrap_or_default();
        self.sizes.push_back(before + entry.size());
        self.entries.push_back(entry);
    }

    /// Returns the size of the entries after `index`, in bytes.
    pub(crate) fn bytes_after(&self, index: u64) -> usize {
        let (Some(first), Some(first_size), Some(last_size)) =
            (self.entries.front(), self.sizes.front(), self.sizes.back())
        else {
            return 0;
        };
        let skipped = match index.checked_sub(first.index) {
            Some(offset) => {
                let offset = usize::try_from(offset).unwrap_or(usize::MAX);
                *self.sizes.get(offset).unwrap_or(last_size)
            }
            None => first_size - first.size(),
        };
        last_size - skipped
    }

    /// Removes the entry at `from` and all entries after it.
    pub(crate) fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.base_index + 1);
        let keep = usize::try_from(keep).unwrap_or(usize::MAX);
        self.entries.truncate(keep);
        self.sizes.truncate(keep);
    }

    /// Removes the entries up to `index`, which a snapshot covers.
    pub(crate) fn compact(&mut self, index: u64) {
        while self.base_index < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.sizes.pop_front();
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
    }

    /// Returns the lowest index after which the entries up to `to` have this size at most,
    /// in bytes.
    pub(crate) fn index_before(&self, to: u64, max_bytes: usize) -> u64 {
        let mut size = 0;
        let mut at = to;
        while let Some(entry) = self.get(at) {
            size += entry.size();
            if size > max_bytes {
                break;
            }
            at -= 1;
        }
        at
    }

    /// Returns the entries from `from` to `to` within the given limits, but at
    /// least one if there is any.
    pub(crate) fn slice(
        &self,
        from: u64,
        to: u64,
        max_entries: usize,
        max_bytes: usize,
    ) -> Vec<Entry> {
        let mut taken = Vec::new();
        let mut size = 0;
        for index in from..=to {
            let Some(entry) = self.get(index) else { break };
            size += entry.size();
            if !taken.is_empty() && (size > max_bytes || taken.len() == max_entries) {
                break;
            }
            taken.push(entry.clone());
        }
        taken
    }

    /// Returns the index before the first entry of the term that `index` has.
    pub(crate) fn before_term_of(&self, index: u64) -> u64 {
        let Some(term) = self.term_at(index) else {
            return self.last_index();
        };
        let mut at = index;
        while at > self.base_index && self.term_at(at) == Some(term) {
            at -= 1;
        }
        at
    }
}
