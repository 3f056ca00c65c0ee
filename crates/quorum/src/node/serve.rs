//! Proposals and linearizable reads.

use super::{Node, Role};
use crate::leader::PendingRead;
use crate::{EntryBody, LeadershipError};
use bytes::Bytes;
use std::time::Instant;

impl Node {
    /// Appends a command and returns its index and term. The command is
    /// committed once [`Node::ready`] returns the entry with that index *and*
    /// term. If the entry at that index has another term, the command was lost.
    ///
    /// # Errors
    ///
    /// Fails if the replica is not the leader, holds no valid lease, has too few
    /// voters or too many bytes that are not committed yet.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let mut node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// let refused = node.propose("note".into(), now);
    /// assert_eq!(refused, Err(LeadershipError::NotLeader));
    /// ```
    pub fn propose(&mut self, data: Bytes, now: Instant) -> Result<(u64, u64), LeadershipError> {
        if !self.is_leader() {
            return Err(LeadershipError::NotLeader);
        }
        if !self.has_lease(now) {
            return Err(LeadershipError::NoLease);
        }
        if !self.accepts_commands(now) {
            return Err(LeadershipError::TooFewVoters);
        }
        let body = EntryBody::Command(data);
        let uncommitted = self.log.bytes_after(self.commit_index);
        if uncommitted > 0 && uncommitted + body.size() > self.cfg.max_uncommitted_bytes {
            return Err(LeadershipError::TooMuchUncommitted);
        }
        let index = self.append_as_leader(body);
        Ok((index, self.hard_state.term))
    }

    /// Requests a linearizable read (read-index, section 6.4). The token is
    /// returned in [`Ready::confirmed_reads`](crate::Ready::confirmed_reads)
    /// or, if the replica loses its leadership first, in
    /// [`Ready::refused_reads`](crate::Ready::refused_reads). The next
    /// heartbeat or [`Node::start_read_round`] starts the round that confirms
    /// it.
    ///
    /// # Errors
    ///
    /// Fails if the replica is not the leader.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let mut node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert_eq!(node.read(1), Err(LeadershipError::NotLeader));
    /// ```
    pub fn read(&mut self, token: u64) -> Result<(), LeadershipError> {
        let Role::Leader(leader) = &mut self.role else {
            return Err(LeadershipError::NotLeader);
        };
        let started = None;
        leader.pending_reads.push(PendingRead { token, started });
        Ok(())
    }

    /// Assigns pending reads their read index and the round that confirms them.
    ///
    /// Only a leader that has committed an entry of its own term knows the
    /// current commit index. Before that, a read could miss an acknowledged
    /// entry.
    pub(super) fn assign_read_rounds(&mut self) {
        let committed_in_term = self.has_committed_in_term();
        let commit = self.commit_index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if !committed_in_term {
            return;
        }
        // The round must start after the read was requested. A reply to an
        // earlier round may have been sent before another leader was elected.
        let round = leader.round + 1;
        for read in leader
            .pending_reads
            .iter_mut()
            .filter(|r| r.started.is_none())
        {
            read.started = Some((commit, round));
        }
    }

    pub(super) fn release_confirmed_reads(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let confirmed = leader.confirmed_round();
        let confirmed_reads = &mut self.confirmed_reads;
        leader.pending_reads.retain(|read| match read.started {
            Some((index, round)) if round <= confirmed => {
                confirmed_reads.push((read.token, index));
                false
            }
            _ => true,
        });
    }
}
