//! Whether an entry accepts callers.

use node::Watcher;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// Share of the grace period during which new callers are still accepted: by its
/// end nearly all of them have resolved the directory again. A request accepted
/// later might still run when the process is killed.
const ANNOUNCE_SHARE: f64 = 0.3;
/// Share of the grace period after which requests without a response are abandoned, so that
/// their callers are told before the connections are closed.
const ABANDON_SHARE: f64 = 0.93;
/// Share of the grace period after which remaining requests are aborted.
const DRAIN_END_SHARE: f64 = 0.95;

/// Whether an entry accepts callers: from its first route table until it is asked
/// to shut down. Clones share their state.
#[derive(Clone)]
pub struct Readiness {
    watcher: Watcher,
    shutting_down: Arc<AtomicBool>,
    ending: CancellationToken,
}

impl Readiness {
    /// Becomes ready as soon as the watcher has a route table.
    #[must_use]
    pub fn spawn(watcher: Watcher) -> Readiness {
        let readiness = Readiness {
            watcher,
            shutting_down: Arc::default(),
            ending: CancellationToken::new(),
        };
        tokio::spawn(readiness.clone().open_when_table_known());
        readiness
    }

    /// Whether callers should be directed to this entry.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.watcher.table().is_some() && !self.is_shutting_down()
    }

    /// Whether the entry is shutting down, so that callers should use another one
    /// for their next request.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::Relaxed)
    }

    /// The part of the grace period that is left to running requests after
    /// [`Readiness::announce_shutdown`] has returned.
    #[must_use]
    pub fn drain_timeout(grace: Duration) -> Duration {
        grace.mul_f64(DRAIN_END_SHARE - ANNOUNCE_SHARE)
    }

    /// Resolves when requests that have no response yet are to be abandoned, near the end of
    /// a shutdown.
    pub fn ending(&self) -> WaitForCancellationFutureOwned {
        self.ending.clone().cancelled_owned()
    }

    /// Announces that callers should use other entries, and returns once they
    /// have had time to notice. Requests that arrive until then are still served.
    pub async fn announce_shutdown(&self, grace: Duration) {
        self.shutting_down.store(true, Ordering::Relaxed);
        self.watcher.set_open(false);
        let ending = self.ending.clone();
        tokio::spawn(async move {
            sleep(grace.mul_f64(ABANDON_SHARE)).await;
            ending.cancel();
        });
        sleep(grace.mul_f64(ANNOUNCE_SHARE)).await;
    }

    async fn open_when_table_known(self) {
        let mut changed = self.watcher.state().changed();
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
