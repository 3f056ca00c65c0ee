//! What a participant wants done.

use crate::{EngineCommand, ParticipantMessage};

/// What a participant wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ParticipantOutput {
    /// Give the engine an order; the answer goes to
    /// [`Participant::on_engine`](crate::Participant::on_engine).
    Order(EngineCommand),
    /// Read what stands for the group from the durable state, linearizably;
    /// the answer goes to
    /// [`Participant::on_standing`](crate::Participant::on_standing).
    Ask,
    /// Open a new fencing number in the durable state; the answer goes to
    /// [`Participant::on_opened`](crate::Participant::on_opened).
    Open {
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
