//! Addresses of control replicas.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use tokio::sync::watch;

/// Maximum number of leaders that are remembered until the leader has named all replicas:
/// the maximum size of a cluster.
const MAX_LEADERS: usize = 9;

/// The control replicas that a node connects to.
#[derive(Clone, Debug)]
pub enum ControlAddresses {
    /// All replicas. Addresses that replicas advertise are not dialled: they may lead over
    /// another path.
    All(Vec<SocketAddr>),
    /// The current addresses of a few replicas, which name the others.
    Seeds(watch::Receiver<Vec<SocketAddr>>),
}

/// Addresses of replicas that a node has learned from replicas.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaAddresses {
    /// All replicas, as named by a leader.
    members: BTreeSet<SocketAddr>,
    /// Leaders that other replicas have named since then, the latest last.
    leaders: VecDeque<SocketAddr>,
}

impl ReplicaAddresses {
    pub(crate) fn all(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.iter().chain(&self.leaders).copied()
    }

    pub(crate) fn members(&self) -> &BTreeSet<SocketAddr> {
        &self.members
    }

    /// Adds a leader that another replica has named. Returns whether it was unknown.
    pub(crate) fn add_leader(&mut self, address: SocketAddr) -> bool {
        if self.all().any(|known| known == address) {
            return false;
        }
        if self.leaders.len() >= MAX_LEADERS {
            self.leaders.pop_front();
        }
        self.leaders.push_back(address);
        true
    }

    /// Replaces the members by those that a leader has named. If it has named none, the
    /// known ones are current. Returns whether the addresses have changed.
    pub(crate) fn update_members(&mut self, named: BTreeSet<SocketAddr>) -> bool {
        if named.is_empty() && self.members.is_empty() {
            // An earlier version does not name the members.
            return false;
        }
        let before: BTreeSet<SocketAddr> = self.all().collect();
        self.leaders.clear();
        if !named.is_empty() {
            self.members = named;
        }
        before != self.members
    }
}
