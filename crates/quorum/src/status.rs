//! Status of a replica and of the members it knows.

use crate::{DiskId, Peer};

/// Status of a replica and of the members it knows.
#[derive(Clone, Debug)]
pub struct Status {
    /// Disk of this replica.
    pub id: DiskId,
    /// Latest term seen.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<DiskId>,
    /// Index of the last committed entry.
    pub commit_index: u64,
    /// Index of the last entry returned for applying.
    pub applied_index: u64,
    /// Index of the last entry in the log.
    pub last_index: u64,
    /// Whether the latest membership change is committed.
    pub membership_committed: bool,
    /// Members, voters first.
    pub replicas: Vec<ReplicaStatus>,
}

/// Status of one member.
#[derive(Clone, Debug)]
pub struct ReplicaStatus {
    /// Disk of the member.
    pub id: DiskId,
    /// Name and address of the member.
    pub peer: Peer,
    /// Whether the member is a voter; otherwise it is a learner.
    pub voter: bool,
    /// Last index known to be synced on the member; `None` unless this replica
    /// leads.
    pub match_index: Option<u64>,
    /// Whether the member has answered within the election timeout.
    pub active: bool,
    /// Whether the member is known to hold the latest membership change and to know that it is
    /// committed; false unless this replica leads. A voter that does not know it may need the
    /// votes of removed voters.
    pub informed: bool,
}
