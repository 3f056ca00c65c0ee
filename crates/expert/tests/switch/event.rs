//! Something on its way.

use expert::{
    CoordinatorMessage, DecideOutcome, Decision, EngineCommand, EngineState, GroupState,
    ParticipantMessage,
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
        standing: GroupState,
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
        standing: GroupState,
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
        standing: GroupState,
    },
    Order {
        rank: usize,
        life: usize,
        serial: u64,
        order: EngineCommand,
    },
    Obeyed {
        rank: usize,
        life: usize,
        serial: u64,
        state: Option<EngineState>,
    },
}
