//! Accessors for the state of a replica.

use super::{Node, Role};
use crate::{DiskId, Members, ReplicaStatus, Status};
use std::collections::BTreeMap;
use std::time::Instant;

/// Number of election timeouts without a leader after which a voter assumes
/// that it has been replaced. It still votes in the meantime, and a join
/// request costs one message per election timeout.
const ELECTIONS_UNTIL_REPLACED: u32 = 3;

impl Node {
    /// Returns the disk of this replica.
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

    /// Returns the latest term seen. On a leader it is the fencing number.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert_eq!(node.term(), 0);
    /// ```
    #[must_use]
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns whether this replica is the leader of its term. Another replica
    /// may lead a later term already; see [`Node::has_lease`].
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

    /// Returns whether this replica leads and no other replica can: a majority
    /// has answered so recently that it does not vote yet (sections 6.2 and
    /// 6.4.1).
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

    /// Returns whether this leader has committed an entry of its own term, and
    /// therefore knows of all acknowledged entries (section 6.4).
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
            Role::Leader(leader) => self.commit_index >= leader.noop_index,
            _ => false,
        }
    }

    /// Returns whether this leader has returned an entry of its own term for
    /// applying, so that the state machine contains all entries acknowledged by
    /// earlier leaders.
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
            Role::Leader(leader) => self.applied_index >= leader.noop_index,
            _ => false,
        }
    }

    /// Returns the leader, if known.
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

    /// Returns the members in force at the end of the log.
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
        self.membership_history
            .last()
            .map_or(NONE, |(_, members)| members)
    }

    /// Returns whether this replica should ask to join the cluster: it is not a
    /// voter and hears from no leader, or it is a voter that has been without a
    /// leader for so long that it may have been replaced.
    ///
    /// This applies to a replica with a blank disk. It can also apply to a
    /// learner: the entry that added it can be lost with the leader that
    /// appended it, and then no other replica knows of this one.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert!(node.should_join(now));
    /// ```
    #[must_use]
    pub fn should_join(&self, now: Instant) -> bool {
        let silence = now.saturating_duration_since(self.leader_heard_at);
        let silent = silence >= self.cfg.election_timeout;
        let replaced = self.cfg.voter_replacement.is_some()
            && !self.is_leader()
            && silence >= self.cfg.election_timeout * ELECTIONS_UNTIL_REPLACED;
        replaced || !self.is_voter() && (self.leader.is_none() || silent)
    }

    /// Returns the index and term of the last entry returned for applying.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert_eq!(node.last_applied(), (0, 0));
    /// ```
    #[must_use]
    pub fn last_applied(&self) -> (u64, u64) {
        let term = self.log.term_at(self.applied_index);
        (self.applied_index, term.unwrap_or(self.snapshot.term))
    }

    /// Returns the members in force at an entry that is still in the log.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert_eq!(&node.members_at(0), node.members());
    /// ```
    #[must_use]
    pub fn members_at(&self, index: u64) -> Members {
        let mut newest_first = self.membership_history.iter().rev();
        let found = newest_first.find(|(changed_at, _)| *changed_at <= index);
        found.map_or_else(Members::default, |(_, members)| members.clone())
    }

    /// Returns the status of this replica and of the members it knows.
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
            term: self.hard_state.term,
            leader: self.leader,
            commit_index: self.commit_index,
            applied_index: self.applied_index,
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
                informed: false,
            };
            if let Role::Leader(leader) = &self.role {
                let match_index = leader.peers.get(&id).map(|p| p.match_index);
                row.match_index = match_index.or((id == self.id).then_some(self.synced_index));
                row.active |= leader.is_active(id, now, self.cfg.election_timeout);
                row.informed = self.membership_committed()
                    && row.match_index >= self.members_changed_at()
                    && leader.answered_round(self.id, id) > leader.rounds_before_members;
            }
            rows.push(row);
        }
        rows
    }
}
