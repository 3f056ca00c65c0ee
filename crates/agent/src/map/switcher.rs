//! The actor that switches expert maps.

use std::sync::Arc;

use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::task::JoinHandle;

use crate::command::CommandQueue;
use crate::map::map_context::MapContext;
use crate::map::msg::MapMsg;
use crate::map::peers::Peers;
use crate::map::state::State;

/// Runs participant and coordinator over links, control and engine.
pub(crate) struct Switcher;

/// What the actor is started with.
pub(crate) struct Start {
    pub cx: Arc<MapContext>,
    pub commands: CommandQueue,
    pub peers: Peers,
}

/// The actor's state, and the clock that wakes it.
pub(crate) struct Running {
    state: State,
    clock: JoinHandle<()>,
}

impl Actor for Switcher {
    type Msg = MapMsg;
    type State = Running;
    type Arguments = Start;

    async fn pre_start(
        &self,
        myself: ActorRef<MapMsg>,
        start: Start,
    ) -> Result<Running, ActorProcessingErr> {
        let clock = tokio::spawn(keep_time(myself.clone(), Arc::clone(&start.cx)));
        let state = State::new(start, myself);
        Ok(Running { state, clock })
    }

    async fn handle(
        &self,
        _myself: ActorRef<MapMsg>,
        msg: MapMsg,
        running: &mut Running,
    ) -> Result<(), ActorProcessingErr> {
        running.state.take(msg);
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<MapMsg>,
        running: &mut Running,
    ) -> Result<(), ActorProcessingErr> {
        running.clock.abort();
        Ok(())
    }
}

async fn keep_time(switcher: ActorRef<MapMsg>, cx: Arc<MapContext>) {
    let mut ticks = tokio::time::interval(cx.poll);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if switcher.send_message(MapMsg::Tick).is_err() {
            return;
        }
    }
}
