//! Handle of the map actor.

use std::sync::Arc;

use ractor::{Actor, ActorRef};
use wire::{ClusterKey, Identity, Incoming, LinkSettings};

use crate::command::CommandQueue;
use crate::map::map_actor::{MapActor, MapActorArgs};
use crate::map::map_context::MapContext;
use crate::map::msg::MapMsg;
use crate::map::peers::Peers;

/// Delivers messages from other agents to the map actor, if there is one.
#[derive(Clone, Debug)]
pub(crate) struct MapHandle {
    actor: Option<ActorRef<MapMsg>>,
}

impl MapHandle {
    /// The handle of an agent without expert maps, next to a plain service.
    pub fn disabled() -> Self {
        MapHandle { actor: None }
    }

    /// Delivers one message.
    pub fn deliver(&self, incoming: Incoming) {
        if let Some(actor) = &self.actor {
            let _ = actor.send_message(MapMsg::Incoming(Box::new(incoming)));
        }
    }
}

/// Starts the map actor; it stops with the agent.
pub(crate) async fn start(
    cx: &Arc<MapContext>,
    commands: &CommandQueue,
    me: &Identity,
    key: &ClusterKey,
    link: &LinkSettings,
) -> eyre::Result<MapHandle> {
    let peers = Peers::new(me.clone(), key.clone(), link.clone(), cx.stop.clone());
    let args = MapActorArgs {
        cx: Arc::clone(cx),
        commands: commands.clone(),
        peers,
    };
    let (actor, _) = Actor::spawn(None, MapActor, args).await?;
    let (stop, stopping) = (cx.stop.clone(), actor.clone());
    tokio::spawn(async move {
        stop.cancelled().await;
        stopping.stop(None);
    });
    Ok(MapHandle { actor: Some(actor) })
}
