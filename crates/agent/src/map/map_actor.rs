//! The map actor, which switches expert maps.

use std::sync::Arc;

use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::task::JoinHandle;

use crate::command::CommandQueue;
use crate::map::map_context::MapContext;
use crate::map::msg::MapMsg;
use crate::map::peers::Peers;
use crate::map::state::State;

/// Connects participant and coordinator to links, control and the engine.
pub(crate) struct MapActor;

/// Arguments of [`MapActor`].
pub(crate) struct MapActorArgs {
    pub cx: Arc<MapContext>,
    pub commands: CommandQueue,
    pub peers: Peers,
}

/// State of [`MapActor`], and the task that sends its ticks.
pub(crate) struct MapActorState {
    state: State,
    ticker: JoinHandle<()>,
}

impl Actor for MapActor {
    type Msg = MapMsg;
    type State = MapActorState;
    type Arguments = MapActorArgs;

    async fn pre_start(
        &self,
        myself: ActorRef<MapMsg>,
        args: MapActorArgs,
    ) -> Result<MapActorState, ActorProcessingErr> {
        let ticker = tokio::spawn(send_ticks(myself.clone(), Arc::clone(&args.cx)));
        let state = State::new(args, myself);
        Ok(MapActorState { state, ticker })
    }

    async fn handle(
        &self,
        _myself: ActorRef<MapMsg>,
        msg: MapMsg,
        actor: &mut MapActorState,
    ) -> Result<(), ActorProcessingErr> {
        actor.state.handle(msg);
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<MapMsg>,
        actor: &mut MapActorState,
    ) -> Result<(), ActorProcessingErr> {
        actor.ticker.abort();
        Ok(())
    }
}

async fn send_ticks(actor: ActorRef<MapMsg>, cx: Arc<MapContext>) {
    let mut ticks = tokio::time::interval(cx.tick_interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if actor.send_message(MapMsg::Tick).is_err() {
            return;
        }
    }
}
