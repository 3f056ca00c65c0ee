//! Context of the map actor and the command queue.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use node::Follower;
use note::Group;
use tokio_util::sync::CancellationToken;

use crate::engine::TargetClient;
use crate::map::{MapMetrics, MapSettings};

/// The part of an agent that the map actor and the command queue use.
pub(crate) struct MapContext {
    /// Name of the agent.
    pub name: String,
    /// Name of the group.
    pub group: String,
    pub incarnation: u64,
    pub cfg: MapSettings,
    /// Interval of ticks.
    pub tick_interval: Duration,
    pub follower: Follower,
    pub target_client: TargetClient,
    pub metrics: MapMetrics,
    pub group_source: GroupSource,
    /// Stops the agent.
    pub stop: CancellationToken,
}

/// Source of the dimensions of the group.
pub(crate) enum GroupSource {
    /// The release note in force.
    ReleaseNote,
    /// Set by the process that started the agent.
    Shared(Arc<Mutex<Option<Group>>>),
}

impl MapContext {
    /// The group with its dimensions, if it is known.
    pub fn group_info(&self) -> Option<Group> {
        match &self.group_source {
            GroupSource::ReleaseNote => self.follower.catalogue().group(&self.group).cloned(),
            // The lock is held only while the value is copied.
            GroupSource::Shared(group) => {
                group.lock().unwrap_or_else(PoisonError::into_inner).clone()
            }
        }
    }
}
