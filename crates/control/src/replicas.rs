//! Who the other replicas are, as this one knows it.

use std::net::SocketAddr;

/// The members of the replicated log, as this replica knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Replicas {
    /// How many vote.
    pub(crate) voters: usize,
    /// Where the links of all are accepted, in order.
    pub(crate) addresses: Vec<SocketAddr>,
}

impl Replicas {
    pub(crate) fn of(members: &quorum::Members) -> Replicas {
        let peers = members.voters.values().chain(members.learners.values());
        let mut addresses: Vec<SocketAddr> = Vec::new();
        for peer in peers {
            match peer.address.parse() {
                Ok(address) => addresses.push(address),
                Err(e) => log::warn!("replica {} at {:?}: {e}", peer.name, peer.address),
            }
        }
        addresses.sort_unstable();
        Replicas {
            voters: members.voters.len(),
            addresses,
        }
    }

    /// Smallest number of replicas that is a majority.
    pub(crate) fn majority(&self) -> usize {
        self.voters / 2 + 1
    }
}
