//! Asks the leader, wherever it is.

use crate::shared::Shared;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use wire::proto::NotLeader;
use wire::proto::frame::Body;
use wire::{Error, Link, Result};

/// Pause before the next replica is tried.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for one replica, so that one that is frozen does not use up the time
/// in which another one could have answered.
const ONE_TRY: Duration = Duration::from_millis(1500);

/// Silence of the leader after which others are asked who leads: several times what
/// a commit takes. They answer without a write of their own.
const SILENT: Duration = Duration::from_millis(150);
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
        match try_hedged(shared, &link, body, left.min(ONE_TRY)).await {
            Ok(Some(answer)) => return Ok(answer),
            Ok(None) => {}
            Err(err) => maybe |= !err.is_not_sent(),
        }
        sleep_until(deadline.min(Instant::now() + PAUSE)).await;
    }
    Err(Unanswered { maybe })
}

/// Asks one replica, and others too while it is silent: the leader may have been
/// replaced, and one that is frozen can't tell.
async fn try_hedged(
    shared: &Shared,
    link: &Link,
    body: &Body,
    within: Duration,
) -> Result<Option<Body>> {
    let mut first = pin!(try_one(shared, link, body.clone(), within));
    loop {
        if let Ok(answer) = timeout(SILENT, &mut first).await {
            return answer;
        }
        let Some(other) = shared
            .controls
            .next()
            .filter(|other| other.peer() != link.peer())
        else {
            continue;
        };
        tokio::select! {
            answer = &mut first => return answer,
            answer = other.call(body.clone(), SILENT) => match answer {
                Ok(Body::NotLeader(known)) if is_news(&known, link) => {
                    shared.controls.find(&known.leader, &known.address);
                    shared.controls.set_leader(Some(known.leader));
                    // The first may have taken the request all the same.
                    return Err(Error::TimedOut);
                }
                Ok(Body::NotLeader(_)) | Err(_) => {}
                Ok(answer) => {
                    shared.controls.set_leader(Some(other.peer().name.clone()));
                    return Ok(Some(answer));
                }
            },
        }
    }
}

/// Whether another replica than the one that is asked is said to lead.
fn is_news(known: &NotLeader, asked: &Link) -> bool {
    !known.leader.is_empty() && known.leader != asked.peer().name
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
