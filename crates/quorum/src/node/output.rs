//! What the replica wants done, and when a message may leave.

use super::{Issued, Node, Role};
use crate::{DiskId, EntryBody, Message, MessageBody, Ready, Write};
use std::time::Instant;

impl Node {
    /// What is to be done now; everything is handed out once. The crate page
    /// shows the round of `ready` and `persisted`.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let mut node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert!(node.ready().is_empty());
    /// ```
    pub fn ready(&mut self) -> Ready {
        self.replicate_all();
        let write = self.next_write();
        let restore = self.restore.take();
        Ready {
            write,
            messages: std::mem::take(&mut self.out),
            restore,
            committed: self.next_committed(),
            confirmed_reads: std::mem::take(&mut self.reads),
            refused_reads: std::mem::take(&mut self.refused_reads),
        }
    }

    fn next_write(&mut self) -> Option<Write> {
        if !self.has_unwritten() {
            return None;
        }
        let last = self.log.last_index();
        self.writes += 1;
        self.issued.push_back(Issued {
            number: self.writes,
            index: last,
            term: self.log.last_term(),
        });
        let entries = self
            .log
            .slice(self.handed + 1, last, usize::MAX, usize::MAX);
        let snapshot = self.received.take();
        if let Some(snapshot) = &snapshot {
            self.restoring = Some((self.writes, snapshot.clone()));
        }
        self.handed = last;
        self.hard_changed = false;
        Some(Write {
            number: self.writes,
            snapshot,
            hard_state: self.hard,
            entries,
        })
    }

    fn has_unwritten(&self) -> bool {
        self.hard_changed || self.received.is_some() || self.handed < self.log.last_index()
    }

    fn next_committed(&mut self) -> Vec<crate::Entry> {
        if self.received.is_some() || self.restoring.is_some() {
            return Vec::new();
        }
        // A leader's commit rests on a majority that has synced. Its own disk
        // need not be among them: were it waited for, a leader whose disk is
        // full would keep every read waiting behind a note that the others
        // have already made last.
        let to = if self.is_leader() {
            self.commit
        } else {
            self.commit.min(self.stable)
        };
        let entries = self.log.slice(self.applied + 1, to, usize::MAX, usize::MAX);
        self.applied = self.applied.max(to);
        entries
    }

    /// Tells that all writes up to `number` are synced.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let mut node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// if let Some(write) = node.ready().write {
    ///     // Written and synced here.
    ///     node.persisted(write.number, now);
    /// }
    /// ```
    pub fn persisted(&mut self, number: u64, now: Instant) {
        while self.issued.front().is_some_and(|i| i.number <= number) {
            let Some(issued) = self.issued.pop_front() else {
                break;
            };
            self.settle_restore(issued.number);
            // The end of the log of that time may have been replaced since.
            if self.log.term_at(issued.index) == Some(issued.term) {
                self.stable = self.stable.max(issued.index);
            }
        }
        while self.held.front().is_some_and(|(needs, _)| *needs <= number) {
            let Some((_, message)) = self.held.pop_front() else {
                break;
            };
            if message.to == self.id {
                self.step(message, now);
            } else {
                self.out.push(message);
            }
        }
        self.advance_commit();
    }

    fn settle_restore(&mut self, number: u64) {
        match self.restoring.take() {
            Some((by, snapshot)) if by <= number => {
                self.applied = snapshot.index;
                self.stable = self.stable.max(snapshot.index);
                self.snapshot = snapshot.clone();
                self.restore = Some(snapshot);
            }
            other => self.restoring = other,
        }
    }

    pub(super) fn send(&mut self, to: DiskId, body: MessageBody) {
        self.send_in_term(to, self.hard.term, body);
    }

    /// Sends, or holds back until what the message promises is synced.
    ///
    /// A vote or an acceptance that leaves before the sync is forgotten by a
    /// crash: two leaders in one term, or an acknowledged entry that a
    /// majority doesn't have. Appends of a leader promise nothing of its own
    /// disk (section 10.2.1).
    pub(super) fn send_in_term(&mut self, to: DiskId, term: u64, body: MessageBody) {
        let from = self.id;
        let promises = !matches!(
            body,
            MessageBody::Append { .. } | MessageBody::InstallSnapshot { .. }
        );
        let message = Message {
            from,
            to,
            term,
            body,
        };
        let unwritten = u64::from(self.has_unwritten());
        let synced = self.issued.is_empty() && unwritten == 0;
        if promises && (to == self.id || !synced) {
            self.hold(self.writes + unwritten, message);
        } else {
            self.out.push(message);
        }
    }

    /// Keeps a message back. Each heartbeat of the leader adds an answer; while
    /// a full disk lets no write through, only the newest of those that say
    /// the same is kept.
    fn hold(&mut self, needs: u64, message: Message) {
        if let Some((before, last)) = self.held.back_mut()
            && *before == needs
            && last.says_same_but_round(&message)
        {
            *last = message;
            return;
        }
        self.held.push_back((needs, message));
    }

    /// Messages that wait for a sync.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert_eq!(node.deferred_messages(), 0);
    /// ```
    #[must_use]
    pub fn deferred_messages(&self) -> usize {
        self.held.len()
    }

    /// Commits what a majority has synced, if it is of this leader's term
    /// (section 3.6.2).
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let match_index = |id: DiskId| {
            if id == self.id {
                return self.stable;
            }
            leader.peers.get(&id).map_or(0, |p| p.match_index)
        };
        let Some(index) = self.members().majority_value(match_index) else {
            return;
        };
        if index > self.commit && self.log.term_at(index) == Some(self.hard.term) {
            self.commit = index;
            self.forget_members();
        }
    }

    /// Drops the members that can't come back: those before the ones in force
    /// at the newest snapshot or commit.
    pub(super) fn forget_members(&mut self) {
        let floor = self.snapshot.index.min(self.commit);
        while self.members.len() > 1 && self.members[1].0 <= floor {
            self.members.remove(0);
        }
    }

    /// Drops entries from `from` on, which another leader has replaced.
    pub(super) fn truncate(&mut self, from: u64) {
        self.log.truncate(from);
        self.handed = self.handed.min(from - 1);
        self.stable = self.stable.min(from - 1);
        self.members.retain(|(set, _)| *set < from);
    }

    /// Appends an entry of the leader's.
    pub(super) fn adopt(&mut self, entry: crate::Entry) {
        if let EntryBody::Members(members) = &entry.body {
            self.members.push((entry.index, members.clone()));
        }
        self.log.push(entry);
    }
}
