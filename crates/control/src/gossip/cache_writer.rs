//! Writing of the file with the last known targets.

use crate::target_cache::TargetCache;
use member::ReportStore;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{Mutex, OwnedMutexGuard};
use tokio::task::JoinHandle;
use wire::proto::Sighting;
use wire::sighting_to_proto;

/// Writes the file with the last known targets when they have changed. Clones share
/// their state.
#[derive(Clone)]
pub(super) struct CacheWriter {
    cache: TargetCache,
    /// Number of changes of the targets so far.
    changes: Arc<AtomicU64>,
    /// Number of changes that the file holds. Locked while the file is written.
    written: Arc<Mutex<u64>>,
}

impl CacheWriter {
    pub(super) fn new(cache: TargetCache) -> CacheWriter {
        CacheWriter {
            cache,
            changes: Arc::default(),
            written: Arc::default(),
        }
    }

    /// Records that the targets have changed.
    pub(super) fn mark_dirty(&self) {
        self.changes.fetch_add(1, Ordering::AcqRel);
    }

    /// Writes the file if it is out of date and not being written.
    pub(super) fn write_if_dirty(&self, rows: impl FnOnce() -> Vec<Sighting>) {
        let number = self.changes.load(Ordering::Acquire);
        if let Ok(written) = Arc::clone(&self.written).try_lock_owned()
            && *written < number
        {
            // If it fails, the file remains out of date and is written later.
            drop(self.write(written, number, rows()));
        }
    }

    /// Waits until the file durably holds all changes made before the call. Returns whether
    /// it does.
    ///
    /// Calls that wait for a write share the next one.
    pub(super) async fn persist(&self, rows: impl FnOnce() -> Vec<Sighting>) -> bool {
        let wanted = self.changes.load(Ordering::Acquire);
        let written = Arc::clone(&self.written).lock_owned().await;
        if *written >= wanted {
            return true;
        }
        // Read before the rows, which may include further changes.
        let number = self.changes.load(Ordering::Acquire);
        self.write(written, number, rows()).await.unwrap_or(false)
    }

    /// Starts to write the file, which then holds this number of changes. The write runs on
    /// a blocking thread, so a disk that hangs cannot keep this replica from answering.
    fn write(
        &self,
        mut written: OwnedMutexGuard<u64>,
        number: u64,
        rows: Vec<Sighting>,
    ) -> JoinHandle<bool> {
        let cache = self.cache.clone();
        tokio::task::spawn_blocking(move || match cache.write(rows) {
            Ok(()) => {
                *written = number;
                true
            }
            Err(e) => {
                log::warn!("cannot write the target cache: {e}");
                false
            }
        })
    }
}

/// The targets to be written. Those that have left are included, so that the earlier state
/// in the file of another replica does not bring them back.
pub(super) fn cached_rows(board: &ReportStore) -> Vec<Sighting> {
    let targets = board.targets().map(|(target, _)| target);
    targets.map(sighting_to_proto).collect()
}
