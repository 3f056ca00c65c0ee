//! Messages to the map actor.

use expert::{DecideOutcome, EngineState, GroupState};
use wire::Incoming;
use wire::proto::frame::Body;

use crate::engine::{ExpertCounts, MapState};

/// A message to the map actor. The result of a failed call is `None`, and the call
/// can be made again.
#[derive(Debug)]
pub(crate) enum MapMsg {
    /// A message from another agent.
    Incoming(Box<Incoming>),
    /// The rank of the agent with this name was released in the agent's place.
    RankReleased(String),
    /// A message from this agent to itself.
    Local(Box<Body>),
    /// Check what is due.
    Tick,
    /// State of the engine after the command with this number.
    Engine {
        serial: u64,
        state: Option<EngineState>,
    },
    /// The decisions in the durable state.
    Standing(Option<GroupState>),
    /// A coordinator was opened, or that failed.
    Opened(Option<GroupState>),
    /// A fencing number was opened so that the engine can join this formation.
    JoinOpened {
        formation: u64,
        standing: Option<GroupState>,
    },
    /// Formation of this agent's engine, to be sent to the coordinator `to`.
    Formed { to: String, map: MapState },
    /// Control answered a decision, or that failed.
    Decided(Option<DecideOutcome>),
    /// Counts of this agent's engine, to be sent to the coordinator `to`.
    Counted {
        to: String,
        counts: ExpertCounts,
        map: MapState,
    },
}
