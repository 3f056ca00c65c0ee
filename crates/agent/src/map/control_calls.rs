//! What the map actor asks of control.

use std::sync::Arc;
use std::time::Duration;

use expert::{Decision, GroupState};
use ractor::ActorRef;
use wire::proto::{MapQuery, OpenCoordinator, command, outcome, query, query_reply};

use crate::map::map_context::MapContext;
use crate::map::msg::MapMsg;
use crate::map::translate;

/// An answer that takes longer is asked for again.
const WITHIN: Duration = Duration::from_secs(5);

/// Opens a coordinator and reports what stands.
pub(crate) async fn open(cx: Arc<MapContext>, inbox: ActorRef<MapMsg>) {
    let standing = opened(&cx).await;
    let _ = inbox.send_message(MapMsg::Opened(standing));
}

/// Opens a number so that the engine can join, and reports what stands.
pub(crate) async fn open_to_join(cx: Arc<MapContext>, formation: u64, inbox: ActorRef<MapMsg>) {
    let standing = opened(&cx).await;
    let _ = inbox.send_message(MapMsg::JoinOpened {
        formation,
        standing,
    });
}

async fn opened(cx: &MapContext) -> Option<GroupState> {
    let open = command::Body::OpenCoordinator(OpenCoordinator {
        group: cx.group.clone(),
        agent: cx.name.clone(),
        incarnation: cx.incarnation,
    });
    let outcome = cx.follower.propose(open, WITHIN).await;
    match outcome.body {
        Some(outcome::Body::Coordinator(opened)) => Some(translate::standing(opened)),
        _ => None,
    }
}

/// Has a decision committed and reports the answer.
pub(crate) async fn decide(cx: Arc<MapContext>, decision: Decision, inbox: ActorRef<MapMsg>) {
    let decide = translate::decide(&cx.group, decision);
    let outcome = cx
        .follower
        .propose(command::Body::DecideMap(decide), WITHIN)
        .await;
    let decided = match outcome.body {
        Some(outcome::Body::Map(answer)) => Some(translate::decided(answer)),
        _ => None,
    };
    let _ = inbox.send_message(MapMsg::Decided(decided));
}

/// Reads what stands for the group.
pub(crate) async fn ask(cx: Arc<MapContext>, inbox: ActorRef<MapMsg>) {
    let standing = read(&cx).await;
    let _ = inbox.send_message(MapMsg::Standing(standing));
}

async fn read(cx: &MapContext) -> Option<GroupState> {
    let query = query::Body::Map(MapQuery {
        group: cx.group.clone(),
    });
    let reply = cx.follower.query(query, WITHIN).await.ok()?;
    match reply.body {
        Some(query_reply::Body::Map(map)) => Some(translate::standing(map)),
        _ => None,
    }
}
