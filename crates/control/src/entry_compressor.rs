//! Compression of large log entries that are sent to other replicas.

use quorum::{Entry, EntryBody};
use std::collections::VecDeque;
use wire::proto::Compressed;

/// Number of entries whose compressed form is kept. All replicas are sent an entry at about
/// the same time.
const MAX_KEPT: usize = 4;

/// Compresses large entries, each only once although every other replica is sent it.
#[derive(Debug, Default)]
pub(crate) struct EntryCompressor {
    /// By index and term; `None` for an entry that does not get smaller.
    kept: VecDeque<((u64, u64), Option<Compressed>)>,
}

impl EntryCompressor {
    /// Returns the compressed form of an entry, unless it is small or does not get smaller.
    pub(crate) fn compress(&mut self, entry: &Entry) -> Option<Compressed> {
        let EntryBody::Command(data) = &entry.body else {
            return None;
        };
        if data.len() < wire::MIN_COMPRESSED_SIZE {
            return None;
        }
        let position = (entry.index, entry.term);
        if let Some((_, kept)) = self.kept.iter().find(|(known, _)| *known == position) {
            return kept.clone();
        }
        let compressed = wire::compress(data);
        if self.kept.len() == MAX_KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back((position, compressed.clone()));
        compressed
    }
}
