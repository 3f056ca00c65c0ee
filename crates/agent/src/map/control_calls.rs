//! Calls of the map actor to control.

use std::sync::Arc;
use std::time::Duration;

use expert::{Decision, GroupState};
use ractor::ActorRef;
use wire::proto::{MapQuery, OpenCoordinator, command, outcome, query, query_reply};

use crate::map::map_context::MapContext;
use crate::map::msg::MapMsg;
use crate::map::translate;

/// Timeout of a call, after which it may be made again.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Opens a coordinator and reports the current decisions.
pub(crate) async fn open(cx: Arc<MapContext>, inbox: ActorRef<MapMsg>) {
    let standing = open_coordinator(&cx).await;
    let _ = inbox.send_message(MapMsg::Opened(standing));
}

/// Opens a fencing number so that the engine can join, and reports the current
/// decisions.
pub(crate) async fn open_to_join(cx: Arc<MapContext>, formation: u64, inbox: ActorRef<MapMsg>) {
    let standing = open_coordinator(&cx).await;
    let _ = inbox.send_message(MapMsg::JoinOpened {
        formation,
        standing,
    });
}

async fn open_coordinator(cx: &MapContext) -> Option<GroupState> {
    let open = command::Body::OpenCoordinator(OpenCoordinator {
        group: cx.group.clone(),
        agent: cx.name.clone(),
        incarnation: cx.incarnation,
    });
    let outcome = cx.follower.propose(open, CONTROL_TIMEOUT).await;
    match outcome.body {
        Some(outcome::Body::Coordinator(opened)) => Some(translate::standing(opened)),
        _ => None,
    }
}

/// Proposes a decision and reports the answer.
pub(crate) async fn decide(cx: Arc<MapContext>, decision: Decision, inbox: ActorRef<MapMsg>) {
    let decide = translate::decide(&cx.group, decision);
    let outcome = cx
        .follower
        .propose(command::Body::DecideMap(decide), CONTROL_TIMEOUT)
        .await;
    let decided = match outcome.body {
        Some(outcome::Body::Map(answer)) => Some(translate::decided(answer)),
        _ => None,
    };
    let _ = inbox.send_message(MapMsg::Decided(decided));
}

/// Reads the current decisions of the group and reports them.
pub(crate) async fn read_standing(cx: Arc<MapContext>, inbox: ActorRef<MapMsg>) {
    let standing = fetch_standing(&cx).await;
    let _ = inbox.send_message(MapMsg::Standing(standing));
}

async fn fetch_standing(cx: &MapContext) -> Option<GroupState> {
    let query = query::Body::Map(MapQuery {
        group: cx.group.clone(),
    });
    let reply = cx.follower.query(query, CONTROL_TIMEOUT).await.ok()?;
    match reply.body {
        Some(query_reply::Body::Map(map)) => Some(translate::standing(map)),
        _ => None,
    }
}
