//! Requests to the leader of the control replicas.

use crate::shared::Shared;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use wire::proto::NotLeader;
use wire::proto::frame::Body;
use wire::{Error, Link, Result};

/// Pause before a request is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time-out of one attempt, so that a replica that hangs does not use up the time in
/// which another one could answer.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time without an answer of the leader after which other replicas are asked as well:
/// several times the duration of a commit. Replicas that do not lead answer without
/// writing.
const HEDGE_DELAY: Duration = Duration::from_millis(150);
/// Time-out of one attempt to notify any replica.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(250);

/// No leader answered in time.
pub(crate) struct Unanswered {
    /// Whether the request may have reached a leader.
    pub(crate) maybe_received: bool,
}

/// Sends a request until the leader answers or `within` has passed. `body` must be
/// idempotent: it may reach several replicas, or one of them repeatedly.
pub(crate) async fn call_leader(
    shared: &Shared,
    body: &Body,
    within: Duration,
) -> std::result::Result<Body, Unanswered> {
    let deadline = Instant::now() + within;
    let mut maybe_received = false;
    let _guard = shared.control_links.hold_open();
    while Instant::now() < deadline {
        let Some(link) = shared.control_links.leader_or_next() else {
            // The wait is bounded because a link that was added between the check and the
            // wait would go unnoticed.
            let soon = deadline.min(Instant::now() + RETRY_PAUSE);
            let _ = timeout_at(soon, shared.control_links.link_added()).await;
            continue;
        };
        let left = deadline - Instant::now();
        match call_hedged(shared, &link, body, left.min(ATTEMPT_TIMEOUT)).await {
            Ok(Some(answer)) => return Ok(answer),
            Ok(None) => {}
            Err(err) => maybe_received |= !err.is_not_sent(),
        }
        sleep_until(deadline.min(Instant::now() + RETRY_PAUSE)).await;
    }
    Err(Unanswered { maybe_received })
}

/// Sends a request to one replica, and to others while it does not answer: the leader may
/// have been replaced, and a former leader that hangs cannot report that.
async fn call_hedged(
    shared: &Shared,
    link: &Link,
    body: &Body,
    within: Duration,
) -> Result<Option<Body>> {
    let mut first = pin!(call_replica(shared, link, body.clone(), within));
    loop {
        if let Ok(answer) = timeout(HEDGE_DELAY, &mut first).await {
            return answer;
        }
        let Some(other) = shared
            .control_links
            .next()
            .filter(|other| other.peer() != link.peer())
        else {
            continue;
        };
        tokio::select! {
            answer = &mut first => return answer,
            answer = other.call(body.clone(), HEDGE_DELAY) => match answer {
                Ok(Body::NotLeader(known)) if names_other_leader(&known, link) => {
                    shared.control_links.add_leader_address(&known.leader, &known.address);
                    shared.control_links.set_leader(Some(known.leader));
                    // The first replica may still have accepted the request.
                    return Err(Error::TimedOut);
                }
                Ok(Body::NotLeader(_)) | Err(_) => {}
                Ok(answer) => {
                    shared.control_links.set_leader(Some(other.peer().name.clone()));
                    return Ok(Some(answer));
                }
            },
        }
    }
}

/// Whether an answer names another leader than the replica that is asked.
fn names_other_leader(known: &NotLeader, asked: &Link) -> bool {
    !known.leader.is_empty() && known.leader != asked.peer().name
}

/// Sends a message to the replicas in turn until one answers it or `within` has passed.
/// Each attempt may take `attempt`.
pub(crate) async fn call_any_replica(
    shared: &Shared,
    body: &Body,
    within: Duration,
    attempt: Duration,
) -> Option<Body> {
    let deadline = Instant::now() + within;
    let _guard = shared.control_links.hold_open();
    while Instant::now() < deadline {
        let left = deadline - Instant::now();
        match shared.control_links.next() {
            Some(link) => match link.call(body.clone(), left.min(attempt)).await {
                Ok(answer) => return Some(answer),
                Err(e) => log::debug!("{} did not answer: {e}", link.peer().name),
            },
            None => {
                // Check for links in either case.
                let _ = timeout(left.min(RETRY_PAUSE), shared.control_links.link_added()).await;
            }
        }
    }
    None
}

/// Sends a message to the replicas in turn until one confirms it or `within` has passed.
/// Returns whether one has.
pub(crate) async fn notify_any_replica(shared: &Shared, body: &Body, within: Duration) -> bool {
    let confirmed = call_any_replica(shared, body, within, NOTIFY_TIMEOUT).await;
    confirmed.is_some()
}

/// Sends a request to one replica. Returns `None` if it is not the leader.
async fn call_replica(
    shared: &Shared,
    link: &Link,
    body: Body,
    within: Duration,
) -> Result<Option<Body>> {
    match link.call(body, within).await {
        Ok(Body::NotLeader(other)) => {
            shared
                .control_links
                .add_leader_address(&other.leader, &other.address);
            let leader = Some(other.leader).filter(|name| *name != link.peer().name);
            shared.control_links.set_leader(leader);
            Ok(None)
        }
        Ok(answer) => {
            shared
                .control_links
                .set_leader(Some(link.peer().name.clone()));
            Ok(Some(answer))
        }
        Err(err) => {
            shared.control_links.set_leader(None);
            Err(err)
        }
    }
}

/// Waits before a request is sent again.
pub(crate) async fn pause_before_retry() {
    sleep(RETRY_PAUSE).await;
}
