//! Commands of an entry that holds no lease.

use crate::watcher_state::WatcherState;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use wire::Link;
use wire::proto::frame::Body;
use wire::proto::{Command, Propose, command, outcome};

/// Time-out of one attempt, so that a replica that hangs does not use up the time in
/// which another one could answer.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a command is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Sends a command to the replicas until the leader has committed it or `within` has
/// passed. Returns whether it has.
pub(crate) async fn propose(state: &WatcherState, body: command::Body, within: Duration) -> bool {
    let deadline = Instant::now() + within;
    let command = Command {
        now_ms: 0,
        body: Some(body),
    };
    let propose = Body::Propose(Propose {
        command: Some(command),
    });
    let mut leader = None;
    let mut turn = rand::random_range(0..usize::MAX / 2);
    while Instant::now() < deadline {
        let links = state.links();
        turn += 1;
        let is_redirected = leader.is_some();
        let Some(link) = choose(&links, leader.take(), turn) else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        match link.call(propose.clone(), ATTEMPT_TIMEOUT).await {
            Ok(Body::Outcome(outcome)) => match outcome.body {
                Some(outcome::Body::Unavailable(refusal)) if refusal.lasting => return false,
                Some(outcome::Body::Unavailable(_)) | None => {}
                Some(_) => return true,
            },
            Ok(Body::NotLeader(known)) if !known.leader.is_empty() => {
                leader = Some(known.leader);
                if !is_redirected {
                    continue;
                }
            }
            _ => {}
        }
        sleep(RETRY_PAUSE).await;
    }
    false
}

/// The link to the leader, or to the replica whose turn it is.
fn choose(links: &[Link], leader: Option<String>, turn: usize) -> Option<&Link> {
    let to_leader = leader.and_then(|name| links.iter().find(|link| link.peer().name == name));
    to_leader.or_else(|| links.get(turn % links.len().max(1)))
}
