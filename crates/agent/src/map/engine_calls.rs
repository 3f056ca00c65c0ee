//! Calls of the map actor to the engine.

use std::sync::Arc;

use expert::{Decision, EngineCommand, EngineState, Map, Verdict};
use ractor::ActorRef;

use crate::command::CommandQueue;
use crate::engine::{CommittedMap, MapCommand, MapState, map_document};
use crate::map::map_context::MapContext;
use crate::map::msg::MapMsg;

/// Sends a command and reports the resulting state of the engine, which is read
/// back.
pub(crate) async fn run_order(
    cx: Arc<MapContext>,
    commands: CommandQueue,
    serial: u64,
    order: EngineCommand,
    inbox: ActorRef<MapMsg>,
) {
    let state = match send_command(&commands, order).await {
        Some(()) => cx.target_client.map().await.ok().as_ref().map(engine_state),
        None => None,
    };
    let _ = inbox.send_message(MapMsg::Engine { serial, state });
}

/// Sends the command. Returns `Some` if it was answered.
async fn send_command(commands: &CommandQueue, order: EngineCommand) -> Option<()> {
    let (fencing, command) = match order {
        EngineCommand::Read => return Some(()),
        EngineCommand::Stage {
            fencing,
            version,
            map,
        } => {
            let map = Map::from_bytes(map).ok()?;
            let map = map_document(&map);
            (fencing, MapCommand::Stage { version, map })
        }
        EngineCommand::Join {
            fencing,
            formation,
            maps,
        } => {
            let maps = maps.into_iter().map(committed_map).collect::<Option<_>>()?;
            (fencing, MapCommand::Join { formation, maps })
        }
        EngineCommand::Hold {
            fencing,
            version,
            barrier_step: step,
        } => (fencing, MapCommand::Hold { version, step }),
        EngineCommand::Outcome {
            fencing,
            version,
            barrier_step: step,
            verdict: Verdict::Commit,
        } => (fencing, MapCommand::Commit { version, step }),
        EngineCommand::Outcome {
            fencing,
            version,
            barrier_step: step,
            verdict: Verdict::Abort,
        } => (fencing, MapCommand::Abort { version, step }),
    };
    commands.send(fencing, command).await.ok().map(drop)
}

fn committed_map(decision: Decision) -> Option<CommittedMap> {
    let map = Map::from_bytes(decision.map).ok()?;
    Some(CommittedMap {
        version: decision.version,
        step: decision.barrier_step,
        map: map_document(&map),
    })
}

fn engine_state(map: &MapState) -> EngineState {
    EngineState {
        step: map.step,
        version: map.version,
        loading: map.loading,
        staged: map.staged,
        next: map.next.filter(|next| *next > map.version),
        held_step: map.held,
        requires_join: map.waits,
        awaiting_join: map.waiting,
        formation: match map.formation {
            Some(0) => None,
            number => Some(number.unwrap_or_default()),
        },
        arming: map.arming,
    }
}
