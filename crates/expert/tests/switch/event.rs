//! Events in flight.

use expert::{
    CoordinatorMessage, DecideOutcome, Decision, EngineCommand, EngineState, GroupState,
    ParticipantMessage,
};

/// A message, call or reply in flight. The incarnation distinguishes the process
/// that sent a request from a later one with the same name.
#[derive(Clone)]
pub enum Event {
    ToParticipant {
        rank: usize,
        from: usize,
        message: CoordinatorMessage,
    },
    ToCoordinator {
        incarnation: usize,
        from: usize,
        message: ParticipantMessage,
    },
    OpenCoordinator {
        incarnation: usize,
    },
    CoordinatorOpened {
        incarnation: usize,
        group_state: GroupState,
    },
    OpenFencing {
        rank: usize,
        incarnation: usize,
        formation: u64,
    },
    FencingOpened {
        rank: usize,
        incarnation: usize,
        formation: u64,
        group_state: GroupState,
    },
    Decide {
        incarnation: usize,
        decision: Decision,
    },
    Decided {
        incarnation: usize,
        outcome: DecideOutcome,
    },
    ReadGroupState {
        rank: usize,
        incarnation: usize,
    },
    GroupStateRead {
        rank: usize,
        incarnation: usize,
        group_state: GroupState,
    },
    Command {
        rank: usize,
        incarnation: usize,
        command_id: u64,
        command: EngineCommand,
    },
    CommandDone {
        rank: usize,
        incarnation: usize,
        command_id: u64,
        state: Option<EngineState>,
    },
}
