//! Asks the leader, wherever it is.

use crate::shared::Shared;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use wire::proto::frame::Body;
use wire::{Link, Result};

/// Pause before the next replica is tried.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for one replica, so that one that is frozen does not use up the time
/// in which another one could have answered.
const ONE_TRY: Duration = Duration::from_millis(1500);

/// Longest wait for a replica of which any may be told.
const ONE_TELL: Duration = Duration::from_millis(250);

/// No answer in time.
pub(crate) struct Unanswered {
    /// True when the request may have reached a leader.
    pub(crate) maybe: bool,
}

/// Asks until the leader answers or `within` is over. `body` must be idempotent: it
/// may reach several replicas, or one of them twice.
pub(crate) async fn ask(
    shared: &Shared,
    body: &Body,
    within: Duration,
) -> std::result::Result<Body, Unanswered> {
    let deadline = Instant::now() + within;
    let mut maybe = false;
    let _asking = shared.controls.asking();
    while Instant::now() < deadline {
        let Some(link) = shared.controls.pick() else {
            // Bounded besides the notice: a link that came up between the look and
            // the wait would else go unnoticed.
            let soon = deadline.min(Instant::now() + PAUSE);
            let _ = timeout_at(soon, shared.controls.more()).await;
            continue;
        };
        let left = deadline - Instant::now();
        match try_one(shared, &link, body.clone(), left.min(ONE_TRY)).await {
            Ok(Some(answer)) => return Ok(answer),
            Ok(None) => {}
            Err(err) => maybe |= !err.is_not_sent(),
        }
        sleep_until(deadline.min(Instant::now() + PAUSE)).await;
    }
    Err(Unanswered { maybe })
}

/// Tells the replicas in turn until one confirms it or `within` is over.
pub(crate) async fn tell_any(shared: &Shared, body: &Body, within: Duration) -> bool {
    let deadline = Instant::now() + within;
    let _asking = shared.controls.asking();
    while Instant::now() < deadline {
        let left = deadline - Instant::now();
        match shared.controls.next() {
            Some(link) => match link.call(body.clone(), left.min(ONE_TELL)).await {
                Ok(_) => return true,
                Err(e) => log::debug!("{} doesn't confirm: {e}", link.peer().name),
            },
            None => {
                // Either outcome means that it is time to look again.
                let _ = timeout(left.min(PAUSE), shared.controls.more()).await;
            }
        }
    }
    false
}

/// Asks one replica; `None` when it does not lead.
async fn try_one(
    shared: &Shared,
    link: &Link,
    body: Body,
    within: Duration,
) -> Result<Option<Body>> {
    match link.call(body, within).await {
        Ok(Body::NotLeader(other)) => {
            shared.controls.find(&other.leader, &other.address);
            let name = Some(other.leader).filter(|name| *name != link.peer().name);
            shared.controls.set_leader(name);
            Ok(None)
        }
        Ok(answer) => {
            shared.controls.set_leader(Some(link.peer().name.clone()));
            Ok(Some(answer))
        }
        Err(err) => {
            shared.controls.set_leader(None);
            Err(err)
        }
    }
}

/// Waits for the next try.
pub(crate) async fn pause() {
    sleep(PAUSE).await;
}
