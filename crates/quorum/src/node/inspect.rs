//! What a replica knows and is at the moment.

use super::{Node, Role};
use crate::{DiskId, Members, ReplicaStatus, Status};
use std::collections::BTreeMap;
use std::time::Instant;

/// Elections that a voter waits through before it takes itself for replaced.
/// It goes on to vote meanwhile; to ask costs one message an election.
const ELECTIONS_UNTIL_REPLACED: u32 = 3;

impl Node {
    /// Own disk.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert_eq!(node.id(), DiskId(1));
    /// ```
    #[must_use]
    pub fn id(&self) -> DiskId {
        self.id
    }

    /// Newest term heard of; of a leader, its fencing number.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert_eq!(node.term(), 0);
    /// ```
    #[must_use]
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Whether this replica leads, or still believes so; see
    /// [`Node::has_lease`].
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert!(!node.is_leader());
    /// ```
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this replica leads and no other can: a majority has answered
    /// so lately that it gives no vote yet (sections 6.2 and 6.4.1).
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert!(!node.has_lease(now));
    /// ```
    #[must_use]
    pub fn has_lease(&self, now: Instant) -> bool {
        match &self.role {
            Role::Leader(leader) => leader.has_lease(now, self.cfg.lease_duration()),
            _ => false,
        }
    }

    /// Whether this leader has committed an entry of its own term, and so
    /// holds all that was ever acknowledged (section 6.4).
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert!(!node.has_committed_in_term());
    /// ```
    #[must_use]
    pub fn has_committed_in_term(&self) -> bool {
        match &self.role {
            Role::Leader(leader) => self.commit >= leader.noop,
            _ => false,
        }
    }

    /// Whether all that this leader has found committed was handed out to be
    /// applied, so that the state machine lacks nothing acknowledged before it.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert!(!node.has_applied_in_term());
    /// ```
    #[must_use]
    pub fn has_applied_in_term(&self) -> bool {
        match &self.role {
            Role::Leader(leader) => self.applied >= leader.noop,
            _ => false,
        }
    }

    /// The leader, if known.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert_eq!(node.leader(), None);
    /// ```
    #[must_use]
    pub fn leader(&self) -> Option<DiskId> {
        self.leader
    }

    /// The members as of the end of the log.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert!(node.members().voters.is_empty());
    /// ```
    #[must_use]
    pub fn members(&self) -> &Members {
        const NONE: &Members = &Members {
            voters: BTreeMap::new(),
            learners: BTreeMap::new(),
        };
        self.members.last().map_or(NONE, |(_, members)| members)
    }

    /// Whether this replica should ask to be taken in: it hears no leader
    /// and is no voter, or was one for so long without a leader that its
    /// place may be another's by now.
    ///
    /// A blank one is so. One that was being taken in may be so as well: the
    /// change that made it a learner can be lost with the leader that ordered
    /// it, and then nobody knows of this replica any more.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert!(node.should_join(now));
    /// ```
    #[must_use]
    pub fn should_join(&self, now: Instant) -> bool {
        let silence = now.saturating_duration_since(self.heard);
        let silent = silence >= self.cfg.election_timeout;
        let replaced = self.cfg.voter_replacement.is_some()
            && !self.is_leader()
            && silence >= self.cfg.election_timeout * ELECTIONS_UNTIL_REPLACED;
        replaced || !self.is_voter() && (self.leader.is_none() || silent)
    }

    /// Last entry handed out to be applied, and its term.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert_eq!(node.last_applied(), (0, 0));
    /// ```
    #[must_use]
    pub fn last_applied(&self) -> (u64, u64) {
        let term = self.log.term_at(self.applied);
        (self.applied, term.unwrap_or(self.snapshot.term))
    }

    /// Members as of an entry that is still in the log.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert_eq!(&node.members_at(0), node.members());
    /// ```
    #[must_use]
    pub fn members_at(&self, index: u64) -> Members {
        let mut before = self.members.iter().rev();
        let found = before.find(|(set, _)| *set <= index);
        found.map_or_else(Members::default, |(_, members)| members.clone())
    }

    /// What is known of this replica and the others.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert_eq!(node.status(now).commit_index, 0);
    /// ```
    #[must_use]
    pub fn status(&self, now: Instant) -> Status {
        Status {
            id: self.id,
            term: self.hard.term,
            leader: self.leader,
            commit_index: self.commit,
            applied_index: self.applied,
            last_index: self.log.last_index(),
            membership_committed: self.membership_committed(),
            replicas: self.replicas(now),
        }
    }

    fn replicas(&self, now: Instant) -> Vec<ReplicaStatus> {
        let members = self.members();
        let mut rows = Vec::new();
        for id in members.ids() {
            let mut row = ReplicaStatus {
                id,
                peer: members.peer(id).cloned().unwrap_or_default(),
                voter: members.voters.contains_key(&id),
                match_index: None,
                active: id == self.id,
            };
            if let Role::Leader(leader) = &self.role {
                let match_index = leader.peers.get(&id).map(|p| p.match_index);
                row.match_index = match_index.or((id == self.id).then_some(self.stable));
                row.active |= leader.active(id, now, self.cfg.election_timeout);
            }
            rows.push(row);
        }
        rows
    }
}
