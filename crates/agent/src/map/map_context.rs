//! What the map actor needs of its agent.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use node::Follower;
use note::Group;
use tokio_util::sync::CancellationToken;

use crate::engine::TargetClient;
use crate::map::MapSettings;

/// What the map actor needs of its agent.
pub(crate) struct MapContext {
    /// Name of the agent.
    pub name: String,
    /// Name of the group.
    pub group: String,
    pub incarnation: u64,
    pub cfg: MapSettings,
    /// Between two looks at what is due.
    pub poll: Duration,
    pub follower: Follower,
    pub target_client: TargetClient,
    pub offers: Offers,
    /// Ends everything.
    pub stop: CancellationToken,
}

/// Where the dimensions of the group are known from.
pub(crate) enum Offers {
    /// The release note in force.
    Note,
    /// Whoever started the agent.
    Told(Arc<Mutex<Option<Group>>>),
}

impl MapContext {
    /// The group, if it is known.
    pub fn offered(&self) -> Option<Group> {
        match &self.offers {
            Offers::Note => self.follower.catalogue().group(&self.group).cloned(),
            // The lock is held for a copy only.
            Offers::Told(group) => group.lock().unwrap_or_else(PoisonError::into_inner).clone(),
        }
    }
}
