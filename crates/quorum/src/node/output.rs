//! Output of a replica: writes, messages and committed entries.

use super::{Node, PendingWrite, Role};
use crate::{DiskId, EntryBody, Message, MessageBody, Ready, Write};
use std::time::Instant;

impl Node {
    /// Returns the pending actions. Each action is returned once. See the crate
    /// documentation for how `ready` and `persisted` are called in turn.
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
            messages: std::mem::take(&mut self.outbox),
            restore,
            committed: self.next_committed(),
            confirmed_reads: std::mem::take(&mut self.confirmed_reads),
            refused_reads: std::mem::take(&mut self.refused_reads),
        }
    }

    fn next_write(&mut self) -> Option<Write> {
        if !self.has_unwritten() {
            return self.next_commit_write();
        }
        self.hard_state.commit_index = self.persistable_commit();
        let last = self.log.last_index();
        self.last_write += 1;
        self.pending_writes.push_back(PendingWrite {
            number: self.last_write,
            index: last,
            term: self.log.last_term(),
        });
        let entries = self
            .log
            .slice(self.issued_index + 1, last, usize::MAX, usize::MAX);
        let snapshot = self.received_snapshot.take();
        if let Some(snapshot) = &snapshot {
            self.pending_restore = Some((self.last_write, snapshot.clone()));
        }
        self.issued_index = last;
        self.hard_state_changed = false;
        Some(Write {
            number: self.last_write,
            snapshot,
            hard_state: self.hard_state,
            entries,
            commit_only: false,
        })
    }

    /// Returns a write of the commit index alone. No message waits for it: a replica that
    /// restarts without it learns the commit index from the next leader.
    fn next_commit_write(&mut self) -> Option<Write> {
        if !std::mem::take(&mut self.commit_write_due) {
            return None;
        }
        self.hard_state.commit_index = self.persistable_commit();
        Some(Write {
            number: self.last_write,
            snapshot: None,
            hard_state: self.hard_state,
            entries: Vec::new(),
            commit_only: true,
        })
    }

    /// The commit index as far as this replica has synced the entries.
    ///
    /// A commit index that became durable before the entries would, after a crash, cover
    /// whatever the disk held at their indices before.
    pub(super) fn persistable_commit(&self) -> u64 {
        let synced = self.commit_index.min(self.synced_index);
        synced.max(self.hard_state.commit_index)
    }

    fn has_unwritten(&self) -> bool {
        self.hard_state_changed
            || self.received_snapshot.is_some()
            || self.issued_index < self.log.last_index()
    }

    fn next_committed(&mut self) -> Vec<crate::Entry> {
        if self.received_snapshot.is_some() || self.pending_restore.is_some() {
            return Vec::new();
        }
        // The commit index of a leader depends on a majority that has synced,
        // not necessarily on its own disk. If the leader waited for its disk,
        // every read would block behind an entry that the others have already
        // synced while the disk of the leader is full.
        let to = if self.is_leader() {
            self.commit_index
        } else {
            self.commit_index.min(self.synced_index)
        };
        let entries = self
            .log
            .slice(self.applied_index + 1, to, usize::MAX, usize::MAX);
        self.applied_index = self.applied_index.max(to);
        entries
    }

    /// Reports that all writes up to `number` are synced.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let mut node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// if let Some(write) = node.ready().write {
    ///     // Write and sync it here.
    ///     node.persisted(write.number, now);
    /// }
    /// ```
    pub fn persisted(&mut self, number: u64, now: Instant) {
        while self
            .pending_writes
            .front()
            .is_some_and(|write| write.number <= number)
        {
            let Some(synced) = self.pending_writes.pop_front() else {
                break;
            };
            self.complete_restore(synced.number);
            // The entries of this write may have been replaced since it was
            // issued.
            if self.log.term_at(synced.index) == Some(synced.term) {
                self.synced_index = self.synced_index.max(synced.index);
            }
        }
        let due = self.deferred.partition_point(|(write, _)| *write <= number);
        // Taken out first: a message to this replica may defer another one.
        let due: Vec<_> = self.deferred.drain(..due).collect();
        for (_, message) in due {
            if message.to == self.id {
                self.step(message, now);
            } else {
                self.outbox.push(message);
            }
        }
        self.advance_commit(now);
    }

    fn complete_restore(&mut self, number: u64) {
        match self.pending_restore.take() {
            Some((write, snapshot)) if write <= number => {
                self.applied_index = snapshot.index;
                self.synced_index = self.synced_index.max(snapshot.index);
                self.snapshot = snapshot.clone();
                self.restore = Some(snapshot);
            }
            other => self.pending_restore = other,
        }
    }

    pub(super) fn send(&mut self, to: DiskId, body: MessageBody) {
        self.send_in_term(to, self.hard_state.term, body);
    }

    /// Sends a message, or defers it until the state it depends on is synced.
    ///
    /// If a vote or an acceptance were sent before the sync, a crash could undo
    /// it: there could be two leaders in one term, or an acknowledged entry
    /// that no majority holds. Appends of a leader do not depend on its own
    /// disk (section 10.2.1).
    pub(super) fn send_in_term(&mut self, to: DiskId, term: u64, body: MessageBody) {
        let from = self.id;
        let depends_on_sync = !matches!(
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
        let synced = self.pending_writes.is_empty() && unwritten == 0;
        if depends_on_sync && (to == self.id || !synced) {
            self.defer(self.last_write + unwritten, message);
        } else {
            self.outbox.push(message);
        }
    }

    /// Defers a message until the given write is synced. Each heartbeat of the
    /// leader adds a reply; while a full disk blocks writes, only the latest of
    /// several replies that differ only in their round is kept.
    fn defer(&mut self, write: u64, message: Message) {
        if let Some((last_write, last)) = self.deferred.back_mut()
            && *last_write == write
            && last.is_same_append_reply(&message)
        {
            *last = message;
            return;
        }
        self.deferred.push_back((write, message));
    }

    /// Returns the number of messages deferred until a sync.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert_eq!(node.deferred_messages(), 0);
    /// ```
    #[must_use]
    pub fn deferred_messages(&self) -> usize {
        self.deferred.len()
    }

    /// Commits the entries that a quorum has synced, if the last of them is of
    /// the current term (section 3.6.2).
    pub(super) fn advance_commit(&mut self, now: Instant) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let Some(index) = self.committable_index(leader, now) else {
            return;
        };
        if index > self.commit_index && self.log.term_at(index) == Some(self.hard_state.term) {
            let first_in_term = !self.has_committed_in_term();
            let is_change_committed = self.membership_committed();
            self.commit_index = index;
            self.trim_membership_history();
            let commits_change = !is_change_committed && self.membership_committed();
            if let Role::Leader(leader) = &mut self.role {
                if first_in_term {
                    leader.members_changed_at = now;
                }
                if commits_change {
                    // Until they are told, the others may need the votes of removed voters.
                    leader.rounds_before_members = leader.round;
                    leader.next_heartbeat = now;
                }
            }
        }
    }

    /// Drops the memberships that can no longer be in force: those before the
    /// one at the latest snapshot or the commit index, whichever is lower.
    pub(super) fn trim_membership_history(&mut self) {
        let floor = self.snapshot.index.min(self.commit_index);
        while self.membership_history.len() > 1 && self.membership_history[1].0 <= floor {
            self.membership_history.remove(0);
        }
    }

    /// Removes the entries from `from` on, which another leader has replaced.
    pub(super) fn truncate(&mut self, from: u64) {
        self.log.truncate(from);
        self.issued_index = self.issued_index.min(from - 1);
        self.synced_index = self.synced_index.min(from - 1);
        self.membership_history
            .retain(|(changed_at, _)| *changed_at < from);
        self.first_command = self.first_command.filter(|first| *first < from);
    }

    /// Appends an entry received from the leader.
    pub(super) fn append_from_leader(&mut self, entry: crate::Entry) {
        if let EntryBody::Members(members) = &entry.body {
            self.membership_history.push((entry.index, members.clone()));
        }
        self.record_first_command(entry.index, &entry.body);
        self.log.push(entry);
    }
}
