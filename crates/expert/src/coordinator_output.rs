//! Actions requested by a coordinator.

use crate::{CoordinatorMessage, Decision};

/// An action requested by a coordinator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CoordinatorOutput {
    /// Open a coordinator in the durable state; the result goes to
    /// [`Coordinator::on_opened`](crate::Coordinator::on_opened).
    OpenCoordinator,
    /// Propose a decision to the durable state; the result goes to
    /// [`Coordinator::on_decided`](crate::Coordinator::on_decided).
    Decide(Decision),
    /// Send a message to a participant.
    Send {
        /// Name of the participant's agent.
        to: String,
        /// The message.
        message: CoordinatorMessage,
    },
    /// Another coordinator has taken over; this one takes no further action.
    Deposed,
}
