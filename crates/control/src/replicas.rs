//! The replicas of the cluster, as known to this one.

use std::net::SocketAddr;

/// The members of the replicated log, as known to this replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Replicas {
    /// Number of voters.
    pub(crate) voters: usize,
    /// Link addresses of all members, sorted.
    pub(crate) addresses: Vec<SocketAddr>,
}

impl Replicas {
    pub(crate) fn from_members(members: &quorum::Members) -> Replicas {
        let peers = members.voters.values().chain(members.learners.values());
        let mut addresses: Vec<SocketAddr> = Vec::new();
        for peer in peers {
            match peer.address.parse() {
                Ok(address) => addresses.push(address),
                Err(e) => {
                    let address = &peer.address;
                    log::warn!("invalid address {address:?} of replica {}: {e}", peer.name);
                }
            }
        }
        addresses.sort_unstable();
        Replicas {
            voters: members.voters.len(),
            addresses,
        }
    }

    /// Returns the smallest number of replicas that is a majority.
    pub(crate) fn majority(&self) -> usize {
        self.voters / 2 + 1
    }
}
