//! Settings of a follower.

use crate::replica_addresses::ControlAddresses;
use std::time::Duration;
use wire::{ClusterKey, LinkSettings};

/// Settings of a follower.
#[derive(Clone, Debug)]
pub struct FollowerSettings {
    /// Link addresses of control replicas.
    pub controls: ControlAddresses,
    /// Interval between renewals of the lease: at most a third of the lease.
    pub renew_interval: Duration,
    /// Key for the authentication of links.
    pub key: ClusterKey,
    /// Time-outs and sizes of links.
    pub link: LinkSettings,
}
