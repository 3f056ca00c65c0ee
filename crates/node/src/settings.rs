//! Where control is and how often to ask it.

use std::net::SocketAddr;
use std::time::Duration;
use wire::{ClusterKey, LinkSettings};

/// Where control is and how often to ask it.
#[derive(Clone, Debug)]
pub struct FollowerSettings {
    /// Link addresses of all control replicas.
    pub controls: Vec<SocketAddr>,
    /// Time between two renewals of the lease; a third of the lease or less.
    pub renew_interval: Duration,
    /// The key that links are authenticated with.
    pub key: ClusterKey,
    /// Times and sizes of the links.
    pub link: LinkSettings,
}
