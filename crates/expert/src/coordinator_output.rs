//! What a coordinator wants done.

use crate::{CoordinatorMessage, Decision};

/// What a coordinator wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CoordinatorOutput {
    /// Open a coordinator in the durable state.
    OpenCoordinator,
    /// Have a decision committed in the durable state.
    Decide(Decision),
    /// Send a message to a participant.
    Send {
        /// Name of its agent.
        to: String,
        /// What to send.
        message: CoordinatorMessage,
    },
    /// Another coordinator has taken over; this one does nothing any more.
    Deposed,
}
