//! Entries from the leader to the others.

use super::{Node, Role};
use crate::leader::Leader;
use crate::progress::{Mode, Progress};
use crate::{DiskId, Entry, MessageBody};
use std::time::Instant;

impl Node {
    /// A leader's part of a tick.
    pub(super) fn lead(&mut self, now: Instant) {
        let election = self.cfg.election_timeout;
        let heartbeat = self.cfg.heartbeat_interval;
        let members = self.members().clone();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.confirm(self.id, &members);
        // Check-quorum (section 6.2): a leader that a partition has cut off
        // would otherwise hold callers for ever, where another could serve.
        let confirmed = leader.confirmed.map_or(leader.since, |(_, at)| at);
        if now.saturating_duration_since(confirmed) >= election {
            return self.become_follower(self.hard.term, now);
        }
        if now < leader.next_beat {
            return;
        }
        leader.next_beat = now + heartbeat;
        leader.commit_before = leader.commit_at_beat;
        leader.commit_at_beat = self.commit;
        self.begin_reads();
        self.begin_round(now);
        self.confirm();
        self.beat();
        self.advance_membership(now);
    }

    /// Begins the round that confirms the reads asked so far, unless one is
    /// under way. Without it they wait for the next heartbeat.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let mut node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// node.start_read_round(now);
    /// ```
    pub fn start_read_round(&mut self, now: Instant) {
        let own = self.has_committed_in_term();
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if !own || !leader.wants_round() {
            return;
        }
        self.begin_reads();
        self.begin_round(now);
        self.confirm();
        self.beat();
    }

    fn begin_round(&mut self, now: Instant) {
        if let Role::Leader(leader) = &mut self.role {
            leader.begin_round(now);
        }
    }

    /// Sends one message to each of the others, whether there is news or not.
    pub(super) fn beat(&mut self) {
        for id in self.peer_ids() {
            self.with_peer(id, |node, leader, peer| {
                peer.waiting = false;
                match peer.mode {
                    Mode::Probe => node.send_append(leader, id, peer),
                    Mode::Replicate => node.send_entries(leader, id, peer, Vec::new()),
                    Mode::Snapshot { .. } => node.send_chunk(leader, id, peer),
                }
            });
        }
    }

    /// Sends what each of the others lacks, within the window.
    pub(super) fn replicate_all(&mut self) {
        for id in self.peer_ids() {
            self.with_peer(id, |node, leader, peer| node.replicate(leader, id, peer));
        }
    }

    pub(super) fn peer_ids(&self) -> Vec<DiskId> {
        match &self.role {
            Role::Leader(leader) => leader.peers.keys().copied().collect(),
            _ => Vec::new(),
        }
    }

    /// Lends out the leader's view of one replica beside the node itself.
    pub(super) fn with_peer(
        &mut self,
        id: DiskId,
        act: impl FnOnce(&mut Node, &mut Leader, &mut Progress),
    ) {
        let role = std::mem::replace(&mut self.role, Role::Follower);
        let Role::Leader(mut leader) = role else {
            self.role = role;
            return;
        };
        if let Some(mut peer) = leader.peers.remove(&id) {
            act(self, &mut leader, &mut peer);
            leader.peers.insert(id, peer);
        }
        self.role = Role::Leader(leader);
    }

    fn replicate(&mut self, leader: &Leader, id: DiskId, peer: &mut Progress) {
        loop {
            let more = peer.next <= self.log.last_index();
            match peer.mode {
                Mode::Probe if !peer.waiting => self.send_append(leader, id, peer),
                Mode::Replicate if more && peer.inflight.len() < self.cfg.max_inflight_appends => {
                    self.send_append(leader, id, peer);
                }
                _ => return,
            }
        }
    }

    fn send_append(&mut self, leader: &Leader, id: DiskId, peer: &mut Progress) {
        if self.log.term_at(peer.next - 1).is_none() {
            return self.begin_snapshot(leader, id, peer);
        }
        let entries = self.log.slice(
            peer.next,
            self.log.last_index(),
            self.cfg.max_append_entries,
            self.cfg.max_append_bytes,
        );
        self.send_entries(leader, id, peer, entries);
    }

    fn send_entries(
        &mut self,
        leader: &Leader,
        id: DiskId,
        peer: &mut Progress,
        entries: Vec<Entry>,
    ) {
        let previous_index = peer.next - 1;
        let Some(previous_term) = self.log.term_at(previous_index) else {
            return self.begin_snapshot(leader, id, peer);
        };
        match (peer.mode, entries.last()) {
            (Mode::Probe, _) => peer.waiting = true,
            (Mode::Replicate, Some(last)) => {
                peer.next = last.index + 1;
                peer.inflight.push_back(last.index);
            }
            _ => {}
        }
        let body = MessageBody::Append {
            previous_index,
            previous_term,
            commit: self.commit,
            round: leader.round,
            entries,
        };
        self.send(id, body);
    }

    /// A follower's part (section 3.5).
    pub(super) fn append(
        &mut self,
        previous: (u64, u64),
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        let Some(leader) = self.leader else { return };
        let (index, term) = previous;
        // What is committed here is the leader's as well (section 3.6.3).
        let agrees = index <= self.commit || self.log.term_at(index) == Some(term);
        if !agrees {
            let body = MessageBody::AppendReply {
                accepted: false,
                index: self.agreement_hint(index),
                round,
            };
            return self.send(leader, body);
        }
        let mut last = index;
        for entry in entries {
            // Indices that don't follow each other come from a faulty peer.
            if entry.index != last + 1 || !self.take_entry(entry) {
                return;
            }
            last += 1;
        }
        if commit.min(last) > self.commit {
            self.commit = commit.min(last);
            self.forget_members();
        }
        let body = MessageBody::AppendReply {
            accepted: true,
            index: last,
            round,
        };
        self.send(leader, body);
    }

    fn take_entry(&mut self, entry: Entry) -> bool {
        if entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term) {
            return true;
        }
        if entry.index <= self.log.last_index() {
            self.truncate(entry.index);
        }
        self.adopt(entry);
        true
    }

    fn agreement_hint(&self, index: u64) -> u64 {
        let before = self.log.before_term_of(index);
        before.min(index - 1).min(self.log.last_index())
    }

    /// The reply to an append.
    pub(super) fn appended(
        &mut self,
        from: DiskId,
        accepted: bool,
        index: u64,
        round: u64,
        now: Instant,
    ) {
        let last = self.log.last_index();
        self.with_peer(from, |_, _, peer| {
            peer.heard = Some(now);
            peer.round = peer.round.max(round);
            match accepted {
                true if index <= last => peer.accepted(index),
                true => {}
                false => peer.refused(index),
            }
        });
        self.confirm();
        self.advance_commit();
    }

    pub(super) fn confirm(&mut self) {
        let members = self.members().clone();
        if let Role::Leader(leader) = &mut self.role {
            leader.confirm(self.id, &members);
        }
        self.answer_reads();
    }
}
