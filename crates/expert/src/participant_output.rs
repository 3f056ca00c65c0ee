//! What a participant wants done.

use crate::{EngineCommand, ParticipantMessage};

/// What a participant wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ParticipantOutput {
    /// Give the engine an order; the answer goes to
    /// [`Participant::on_engine_state`](crate::Participant::on_engine_state).
    Command(EngineCommand),
    /// Read what stands for the group from the durable state, linearizably;
    /// the answer goes to
    /// [`Participant::on_group_state`](crate::Participant::on_group_state).
    ReadGroupState,
    /// Open a new fencing number in the durable state; the answer goes to
    /// [`Participant::on_opened`](crate::Participant::on_opened).
    OpenFencing {
        /// Formation in which the engine is to join.
        formation: u64,
    },
    /// Answer the coordinator.
    Send {
        /// Name of its agent.
        to: String,
        /// What to answer.
        message: ParticipantMessage,
    },
}
