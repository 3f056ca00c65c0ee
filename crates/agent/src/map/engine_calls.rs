//! What the map actor asks of the engine.

use std::sync::Arc;

use expert::{Decision, EngineCommand, EngineState, Map, Verdict};
use ractor::ActorRef;

use crate::engine::{InForce, MapOrder, MapState, map_document};
use crate::map::map_context::MapContext;
use crate::map::msg::MapMsg;
use crate::order::Orders;

/// Gives an order and reports the state that it left, which is read back.
pub(crate) async fn order(
    cx: Arc<MapContext>,
    orders: Orders,
    serial: u64,
    order: EngineCommand,
    inbox: ActorRef<MapMsg>,
) {
    let state = match given(&orders, order).await {
        Some(()) => cx.outlet.map().await.ok().as_ref().map(state),
        None => None,
    };
    let _ = inbox.send_message(MapMsg::Engine { serial, state });
}

/// Whether the order is known to have been answered.
async fn given(orders: &Orders, order: EngineCommand) -> Option<()> {
    let (fencing, order) = match order {
        EngineCommand::Read => return Some(()),
        EngineCommand::Stage {
            fencing,
            version,
            map,
        } => {
            let map = Map::from_bytes(map).ok()?;
            let map = map_document(&map);
            (fencing, MapOrder::Stage { version, map })
        }
        EngineCommand::Join {
            fencing,
            formation,
            maps,
        } => {
            let maps = maps.into_iter().map(in_force).collect::<Option<_>>()?;
            (fencing, MapOrder::Join { formation, maps })
        }
        EngineCommand::Hold {
            fencing,
            version,
            barrier_step: step,
        } => (fencing, MapOrder::Hold { version, step }),
        EngineCommand::Outcome {
            fencing,
            version,
            barrier_step: step,
            verdict: Verdict::Commit,
        } => (fencing, MapOrder::Commit { version, step }),
        EngineCommand::Outcome {
            fencing,
            version,
            barrier_step: step,
            verdict: Verdict::Abort,
        } => (fencing, MapOrder::Abort { version, step }),
    };
    orders.give(fencing, order).await.ok().map(drop)
}

fn in_force(decision: Decision) -> Option<InForce> {
    let map = Map::from_bytes(decision.map).ok()?;
    Some(InForce {
        version: decision.version,
        step: decision.barrier_step,
        map: map_document(&map),
    })
}

fn state(map: &MapState) -> EngineState {
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
            told => Some(told.unwrap_or_default()),
        },
        arming: map.arming,
    }
}
