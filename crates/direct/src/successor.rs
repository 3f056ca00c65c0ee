//! Targets whose process was started again behind connections that broke.

use member::Presence;
use node::{KnownTarget, Watcher};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Time in which the process that follows a crashed one announces itself: a few heartbeats.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval at which announcements are looked at. A stalled group breaks the connections of all
/// of its targets, each of which is waited for, and targets announce themselves all the time.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Waits until the target `id`, whose process had started at `started_ms`, runs in another
/// process. A target that was leaving is not waited for: its end is planned.
pub(crate) async fn has_successor(watcher: &Watcher, id: &str, started_ms: u64) -> bool {
    let known = known_target(watcher, id);
    if known.is_some_and(|target| target.report.presence != Presence::Ready) {
        return false;
    }
    let announced = async {
        loop {
            let known = known_target(watcher, id);
            if known.is_some_and(|target| target.report.started_ms > started_ms) {
                return;
            }
            sleep(CHECK_INTERVAL).await;
        }
    };
    timeout(SUCCESSOR_TIMEOUT, announced).await.is_ok()
}

fn known_target(watcher: &Watcher, id: &str) -> Option<KnownTarget> {
    let targets = watcher.state().targets(Instant::now());
    targets.into_iter().find(|target| target.report.id == id)
}
