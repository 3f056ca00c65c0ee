//! What the map actor is told.

use expert::{DecideOutcome, EngineState, GroupState};
use wire::Incoming;
use wire::proto::frame::Body;

use crate::engine::{ExpertCounts, MapState};

/// What the map actor is told. A call that failed is told as `None`, so that
/// it can be made again.
#[derive(Debug)]
pub(crate) enum MapMsg {
    /// A message of another agent.
    Incoming(Box<Incoming>),
    /// A rank was let go in the place of the agent of that name.
    LetGo(String),
    /// A message of this agent to itself.
    Own(Box<Body>),
    /// Look what is due.
    Tick,
    /// What the order of this number left the engine in.
    Engine {
        serial: u64,
        state: Option<EngineState>,
    },
    /// What the durable state holds.
    Standing(Option<GroupState>),
    /// The coordinator was opened.
    Opened(Option<GroupState>),
    /// A number was opened so that the engine can join in this formation.
    JoinOpened {
        formation: u64,
        standing: Option<GroupState>,
    },
    /// The formation in which this agent's engine steps, for the coordinator
    /// `to`.
    Formed { to: String, map: MapState },
    /// A decision was answered.
    Decided(Option<DecideOutcome>),
    /// What this agent's engine has counted, for the coordinator `to`.
    Counted {
        to: String,
        counts: ExpertCounts,
        map: MapState,
    },
}
