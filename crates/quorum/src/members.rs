//! Who takes part in the replicated log.

use crate::DiskId;
use std::collections::BTreeMap;

/// Name and address of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peer {
    /// Name of the host's replica; it outlives the disk.
    pub name: String,
    /// Address of the replica's links.
    pub address: String,
}

impl Peer {
    /// A replica by name and address.
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
}

/// Voters and learners, by the identity of their disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Those whose majority commits and elects.
    pub voters: BTreeMap<DiskId, Peer>,
    /// Those that only receive the log.
    pub learners: BTreeMap<DiskId, Peer>,
}

impl Members {
    /// Smallest number of voters that is a majority.
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

    /// Whether the disk is a voter's or a learner's.
    ///
    /// ```
    /// assert!(!quorum::Members::default().contains(quorum::DiskId(1)));
    /// ```
    #[must_use]
    pub fn contains(&self, id: DiskId) -> bool {
        self.peer(id).is_some()
    }

    /// Name and address of a member.
    ///
    /// ```
    /// assert!(quorum::Members::default().peer(quorum::DiskId(1)).is_none());
    /// ```
    #[must_use]
    pub fn peer(&self, id: DiskId) -> Option<&Peer> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    /// All members, voters first.
    pub(crate) fn ids(&self) -> impl Iterator<Item = DiskId> {
        self.voters.keys().chain(self.learners.keys()).copied()
    }

    /// The voter of that name with another disk.
    pub(crate) fn former_voter(&self, id: DiskId, name: &str) -> Option<DiskId> {
        let mut same = self.voters.iter().filter(|(_, peer)| peer.name == name);
        same.find(|(other, _)| **other != id)
            .map(|(other, _)| *other)
    }

    /// The value that at least a majority of voters has reached.
    pub(crate) fn majority_value<T: Ord + Copy>(&self, value: impl Fn(DiskId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.keys().map(|id| value(*id)).collect();
        values.sort_unstable();
        values.reverse();
        values.get(self.majority() - 1).copied()
    }
}
