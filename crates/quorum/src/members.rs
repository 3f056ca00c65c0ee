//! Members of the cluster.

use crate::DiskId;
use std::collections::BTreeMap;

/// Name and address of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peer {
    /// Name of the replica, which stays the same when its disk is replaced.
    pub name: String,
    /// Address at which the replica accepts links from other replicas.
    pub address: String,
}

impl Peer {
    /// Creates a peer from a name and an address.
    ///
    /// ```
    /// assert_eq!(quorum::Peer::new("one", "127.0.0.1:1").name, "one");
    /// ```
    #[must_use]
    pub fn new(name: &str, address: &str) -> Peer {
        Peer {
            name: name.to_owned(),
            address: address.to_owned(),
        }
    }

    /// Returns whether both run on the same host: they have the same name or
    /// address.
    ///
    /// ```
    /// use quorum::Peer;
    ///
    /// let unnamed = Peer::new("", "127.0.0.1:1");
    /// assert!(unnamed.is_same_host(&Peer::new("one", "127.0.0.1:1")));
    /// assert!(!unnamed.is_same_host(&Peer::new("", "127.0.0.1:2")));
    /// ```
    #[must_use]
    pub fn is_same_host(&self, other: &Peer) -> bool {
        let same = |own: &str, other: &str| !own.is_empty() && own == other;
        same(&self.name, &other.name) || same(&self.address, &other.address)
    }
}

/// Voters and learners, keyed by the identity of their disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Replicas whose majority commits entries and elects leaders.
    pub voters: BTreeMap<DiskId, Peer>,
    /// Replicas that receive the log but do not vote.
    pub learners: BTreeMap<DiskId, Peer>,
}

impl Members {
    /// Returns the smallest number of voters that is a majority.
    ///
    /// ```
    /// use quorum::{DiskId, Members, Peer};
    ///
    /// let mut members = Members::default();
    /// for id in 1..=4 {
    ///     members.voters.insert(DiskId(id), Peer::default());
    /// }
    /// assert_eq!(members.majority(), 3);
    /// ```
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether the disk belongs to a voter or a learner.
    ///
    /// ```
    /// assert!(!quorum::Members::default().contains(quorum::DiskId(1)));
    /// ```
    #[must_use]
    pub fn contains(&self, id: DiskId) -> bool {
        self.peer(id).is_some()
    }

    /// Returns the name and address of a member.
    ///
    /// ```
    /// assert!(quorum::Members::default().peer(quorum::DiskId(1)).is_none());
    /// ```
    #[must_use]
    pub fn peer(&self, id: DiskId) -> Option<&Peer> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    /// Returns all members, voters first.
    pub(crate) fn ids(&self) -> impl Iterator<Item = DiskId> {
        self.voters.keys().chain(self.learners.keys()).copied()
    }

    /// Returns the voter that runs on the same host but on another disk.
    pub(crate) fn former_voter(&self, id: DiskId, peer: &Peer) -> Option<DiskId> {
        let mut same = self.voters.iter().filter(|(_, p)| p.is_same_host(peer));
        same.find(|(other, _)| **other != id)
            .map(|(other, _)| *other)
    }

    /// Returns whether the voters for which `is_counted` returns true are a majority.
    pub(crate) fn is_majority(&self, is_counted: impl Fn(DiskId) -> bool) -> bool {
        self.count_voters(is_counted) >= self.majority()
    }

    /// Returns the smallest number of voters that, without those whose disks are lost, has
    /// one in common with every majority.
    ///
    /// A majority may have included the lost disks. Of an even number of voters half are
    /// enough, as long as at least one disk is lost: two halves would have no voter in
    /// common otherwise.
    pub(crate) fn majority_without_lost(&self) -> usize {
        self.voters.len() - self.majority() + 1
    }

    /// Returns the number of voters for which `is_counted` returns true.
    pub(crate) fn count_voters(&self, is_counted: impl Fn(DiskId) -> bool) -> usize {
        self.voters.keys().filter(|id| is_counted(**id)).count()
    }
}
