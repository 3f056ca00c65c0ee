//! Proposals and linearizable reads.

use super::{Node, Role};
use crate::leader::PendingRead;
use crate::{EntryBody, LeadershipError};
use bytes::Bytes;
use std::time::Instant;

impl Node {
    /// Orders a command; gives its index and term. It is committed once the
    /// entry of that index *and* term is handed out; another term there means
    /// that it never will be.
    ///
    /// # Errors
    ///
    /// The replica doesn't lead, or can't be sure that it still does.
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
        let index = self.order(EntryBody::Command(data));
        Ok((index, self.hard.term))
    }

    /// Asks for a linearizable read (read-index, section 6.4). The token comes
    /// back in [`Ready::confirmed_reads`](crate::Ready::confirmed_reads), or refused. The next
    /// heartbeat or [`Node::start_read_round`] begins the round for it.
    ///
    /// # Errors
    ///
    /// The replica doesn't lead.
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
        let begun = None;
        leader.reads.push(PendingRead { token, begun });
        Ok(())
    }

    /// Gives the reads that wait their index and the round to confirm.
    ///
    /// Only a leader that has committed an entry of its own term knows what
    /// is committed; an earlier answer could miss an acknowledged entry.
    pub(super) fn begin_reads(&mut self) {
        let own = self.has_committed_in_term();
        let commit = self.commit;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if !own {
            return;
        }
        // The round must begin after the read was asked: a reply to an earlier
        // one may have been sent before another leader was elected.
        let round = leader.round + 1;
        for read in leader.reads.iter_mut().filter(|r| r.begun.is_none()) {
            read.begun = Some((commit, round));
        }
    }

    pub(super) fn answer_reads(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let confirmed = leader.confirmed_round();
        let reads = &mut self.reads;
        leader.reads.retain(|read| match read.begun {
            Some((index, round)) if round <= confirmed => {
                reads.push((read.token, index));
                false
            }
            _ => true,
        });
    }
}
