//! Expert-map switches between the agents of one group.

use wire::Incoming;

/// Takes the messages of the other agents of the group.
#[derive(Clone, Debug, Default)]
pub(crate) struct Maps;

impl Maps {
    /// Takes one message.
    #[allow(
        clippy::unused_async,
        clippy::unused_self,
        reason = "filled in with the switch protocol"
    )]
    pub async fn take(&self, incoming: Incoming) {
        log::debug!("passed over a message of {}", incoming.link.peer().name);
    }
}
