//! Actions requested by a participant.

use crate::{EngineCommand, ParticipantMessage};

/// An action requested by a participant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ParticipantOutput {
    /// Send a command to the engine; the result goes to
    /// [`Participant::on_engine_state`](crate::Participant::on_engine_state).
    Command(EngineCommand),
    /// Read the state of the group from the durable state, linearizably; the
    /// result goes to
    /// [`Participant::on_group_state`](crate::Participant::on_group_state).
    ReadGroupState,
    /// Open a new fencing number in the durable state; the result goes to
    /// [`Participant::on_opened`](crate::Participant::on_opened).
    OpenFencing {
        /// Formation that the engine is to join.
        formation: u64,
    },
    /// Send a message to the coordinator.
    Send {
        /// Name of the coordinator's agent.
        to: String,
        /// The message.
        message: ParticipantMessage,
    },
}
