//! What a replica tells of itself and of the others.

use crate::{DiskId, Peer};

/// What a replica tells of itself and of the others.
#[derive(Clone, Debug)]
pub struct Status {
    /// Own disk.
    pub id: DiskId,
    /// Newest term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<DiskId>,
    /// Last entry committed.
    pub commit_index: u64,
    /// Last entry handed out to be applied.
    pub applied_index: u64,
    /// Last entry of the log.
    pub last_index: u64,
    /// Whether the newest change of the members is committed.
    pub membership_committed: bool,
    /// Members, voters first.
    pub replicas: Vec<ReplicaStatus>,
}

/// What is known of one member.
#[derive(Clone, Debug)]
pub struct ReplicaStatus {
    /// Its disk.
    pub id: DiskId,
    /// Its name and address.
    pub peer: Peer,
    /// Whether it votes, or only learns.
    pub voter: bool,
    /// Last index known to be synced there; only the leader knows.
    pub match_index: Option<u64>,
    /// Whether it has answered within the election timeout.
    pub active: bool,
}
