//! The replicas of the cluster, as known to this one.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use wire::addresses_digest;

/// The members of the replicated log, as known to this replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Replicas {
    /// Number of voters.
    pub(crate) voters: usize,
    /// Link addresses of all members.
    pub(crate) addresses: BTreeSet<SocketAddr>,
    /// Digest of the addresses.
    digest: u64,
}

impl Replicas {
    pub(crate) fn from_members(members: &quorum::Members) -> Replicas {
        let peers = members.voters.values().chain(members.learners.values());
        let mut addresses = BTreeSet::new();
        for peer in peers {
            match peer.address.parse() {
                Ok(address) => {
                    addresses.insert(address);
                }
                Err(e) => {
                    let address = &peer.address;
                    log::warn!("invalid address {address:?} of replica {}: {e}", peer.name);
                }
            }
        }
        Replicas {
            voters: members.voters.len(),
            digest: addresses_digest(&addresses),
            addresses,
        }
    }

    /// Returns the addresses, or none if `digest` is that of all of them.
    pub(crate) fn unless_known(&self, digest: u64) -> Vec<String> {
        if self.digest == digest {
            return Vec::new();
        }
        self.addresses.iter().map(ToString::to_string).collect()
    }

    /// Returns the smallest number of replicas that is a majority.
    pub(crate) fn majority(&self) -> usize {
        self.voters / 2 + 1
    }
}
