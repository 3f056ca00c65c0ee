//! Whether an entry takes callers.

use node::Watcher;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::sleep;

/// Part of the time to end during which new callers are still taken: by then
/// nearly all have asked the directory again. A request that is taken later
/// may still run when the process is killed.
const TAKES_CALLERS: f64 = 0.3;
/// Part of the time to end after which what is left is cut off.
const ENDS: f64 = 0.95;

/// Whether an entry takes callers: from its first route table on, until it is
/// asked to end. Clones share one state.
#[derive(Clone)]
pub struct Readiness {
    watcher: Watcher,
    closing: Arc<AtomicBool>,
}

impl Readiness {
    /// Opens as soon as the watcher holds a route table.
    #[must_use]
    pub fn spawn(watcher: Watcher) -> Readiness {
        let readiness = Readiness {
            watcher,
            closing: Arc::default(),
        };
        tokio::spawn(readiness.clone().open_with_table());
        readiness
    }

    /// Whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.watcher.table().is_some() && !self.is_shutting_down()
    }

    /// Whether the entry is about to end, so that callers should go elsewhere
    /// with their next request.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Of the time that is given to end, the part for requests that run once
    /// [`Readiness::announce_shutdown`] has returned.
    #[must_use]
    pub fn drain_timeout(grace: Duration) -> Duration {
        grace.mul_f64(ENDS - TAKES_CALLERS)
    }

    /// Has callers sent elsewhere, and returns once they had time to learn of
    /// it. Requests that come until then are still run.
    pub async fn announce_shutdown(&self, grace: Duration) {
        self.closing.store(true, Ordering::Relaxed);
        self.watcher.set_open(false);
        sleep(grace.mul_f64(TAKES_CALLERS)).await;
    }

    async fn open_with_table(self) {
        let mut changed = self.watcher.watched().changed();
        while self.watcher.table().is_none() {
            if changed.changed().await.is_err() {
                return;
            }
        }
        if !self.is_shutting_down() {
            self.watcher.set_open(true);
        }
    }
}
