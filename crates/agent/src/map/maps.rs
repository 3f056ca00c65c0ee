//! The way to the map actor.

use std::sync::Arc;

use ractor::{Actor, ActorRef};
use wire::{ClusterKey, Identity, Incoming, LinkSettings};

use crate::command::CommandQueue;
use crate::map::map_context::MapContext;
use crate::map::msg::MapMsg;
use crate::map::peers::Peers;
use crate::map::switcher::{Start, Switcher};

/// Takes the messages of the other agents of the group.
#[derive(Clone, Debug)]
pub(crate) struct Maps {
    actor: Option<ActorRef<MapMsg>>,
}

impl Maps {
    /// Before a plain service there is nothing to do.
    pub fn none() -> Self {
        Maps { actor: None }
    }

    /// Takes one message.
    pub fn take(&self, incoming: Incoming) {
        if let Some(actor) = &self.actor {
            let _ = actor.send_message(MapMsg::Incoming(Box::new(incoming)));
        }
    }
}

/// Starts the actor.
pub(crate) async fn start(
    cx: &Arc<MapContext>,
    commands: &CommandQueue,
    me: &Identity,
    key: &ClusterKey,
    link: &LinkSettings,
) -> eyre::Result<Maps> {
    let peers = Peers::new(me.clone(), key.clone(), link.clone(), cx.stop.clone());
    let start = Start {
        cx: Arc::clone(cx),
        commands: commands.clone(),
        peers,
    };
    let (actor, _) = Actor::spawn(None, Switcher, start).await?;
    let (stop, ended) = (cx.stop.clone(), actor.clone());
    tokio::spawn(async move {
        stop.cancelled().await;
        ended.stop(None);
    });
    Ok(Maps { actor: Some(actor) })
}
