//! Something on its way.

use expert::{
    CoordinatorMessage, DecideOutcome, Decision, EngineOrder, EngineState, ParticipantMessage,
    Standing,
};

/// Something on its way. Numbers of lives tell apart who asked from who runs
/// under the same name since.
#[derive(Clone)]
pub enum Event {
    ToParticipant {
        rank: usize,
        from: usize,
        message: CoordinatorMessage,
    },
    ToCoordinator {
        life: usize,
        from: usize,
        message: ParticipantMessage,
    },
    Open {
        life: usize,
    },
    Opened {
        life: usize,
        standing: Standing,
    },
    OpenJoin {
        rank: usize,
        life: usize,
        formation: u64,
    },
    JoinOpened {
        rank: usize,
        life: usize,
        formation: u64,
        standing: Standing,
    },
    Decide {
        life: usize,
        decision: Decision,
    },
    Decided {
        life: usize,
        outcome: DecideOutcome,
    },
    Ask {
        rank: usize,
        life: usize,
    },
    Answer {
        rank: usize,
        life: usize,
        standing: Standing,
    },
    Order {
        rank: usize,
        life: usize,
        serial: u64,
        order: EngineOrder,
    },
    Obeyed {
        rank: usize,
        life: usize,
        serial: u64,
        state: Option<EngineState>,
    },
}
