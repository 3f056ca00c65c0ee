//! Replication of log entries from the leader to its followers.

use super::{Node, Role};
use crate::leader::Leader;
use crate::progress::{InflightAppend, Mode, Progress};
use crate::{DiskId, Entry, MessageBody};
use std::time::Instant;

impl Node {
    /// Handles the leader part of a tick.
    pub(super) fn tick_leader(&mut self, now: Instant) {
        let election_timeout = self.cfg.election_timeout;
        let heartbeat_interval = self.cfg.heartbeat_interval;
        self.update_confirmed_round();
        // A voter that stays silent stops counting without a message.
        self.advance_commit(now);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        // Check-quorum (section 6.2): a leader isolated by a partition steps
        // down. Otherwise its callers would wait indefinitely although another
        // leader could serve them.
        if leader.record_tick(now, heartbeat_interval * 2) >= election_timeout {
            return self.become_follower(self.hard_state.term, now);
        }
        if now < leader.next_heartbeat {
            return;
        }
        leader.next_heartbeat = now + heartbeat_interval;
        leader.commit_at_previous_heartbeat = leader.commit_at_heartbeat;
        leader.commit_at_heartbeat = self.commit_index;
        self.assign_read_rounds();
        self.start_round(now);
        self.update_confirmed_round();
        self.send_heartbeats();
        self.advance_membership(now);
    }

    /// Starts a heartbeat round to confirm the pending reads, unless reads wait
    /// for a running round. Without this call they wait for the next heartbeat.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let mut node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// node.start_read_round(now);
    /// ```
    pub fn start_read_round(&mut self, now: Instant) {
        let committed_in_term = self.has_committed_in_term();
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if !committed_in_term || !leader.needs_round() {
            return;
        }
        self.assign_read_rounds();
        self.start_round(now);
        self.update_confirmed_round();
        self.send_heartbeats();
    }

    fn start_round(&mut self, now: Instant) {
        if let Role::Leader(leader) = &mut self.role {
            leader.start_round(now);
        }
    }

    /// Sends one message to each other member, whether or not there are new
    /// entries.
    ///
    /// A heartbeat during a probe has no entries: those of the probe may take longer than
    /// a heartbeat interval, and copies of them would delay all messages behind them. If
    /// the probe was lost, the reply to the heartbeat ends it.
    pub(super) fn send_heartbeats(&mut self) {
        for id in self.peer_ids() {
            self.with_peer(id, |node, leader, peer| match peer.mode {
                Mode::Probe if !peer.probe_in_flight => node.send_append(leader, id, peer),
                Mode::Probe | Mode::Replicate => {
                    node.send_entries(leader, id, peer, Vec::new());
                }
                Mode::Snapshot { .. } => node.send_chunk(leader, id, peer),
            });
        }
    }

    /// Sends missing entries to each other member, within the limits of appends
    /// in flight.
    pub(super) fn replicate_all(&mut self) {
        let mut ids = self.peer_ids();
        if let Role::Leader(leader) = &self.role
            && !ids.is_empty()
        {
            // Whoever comes first may use up the limit, so all take turns.
            let turn = usize::try_from(leader.round).unwrap_or_default();
            let first = turn % ids.len();
            ids.rotate_left(first);
        }
        for id in ids {
            self.with_peer(id, |node, leader, peer| node.replicate(leader, id, peer));
        }
    }

    pub(super) fn peer_ids(&self) -> Vec<DiskId> {
        match &self.role {
            Role::Leader(leader) => leader.peers.keys().copied().collect(),
            _ => Vec::new(),
        }
    }

    /// Calls `act` with the node, the leader state and the progress of one
    /// replica, so that all three can be borrowed at once.
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
            let has_more = peer.next_index <= self.log.last_index();
            match peer.mode {
                Mode::Probe if !peer.probe_in_flight => self.send_append(leader, id, peer),
                Mode::Replicate if has_more && leader.has_room(peer, &self.cfg) => {
                    self.send_append(leader, id, peer);
                }
                _ => return,
            }
        }
    }

    fn send_append(&mut self, leader: &Leader, id: DiskId, peer: &mut Progress) {
        if self.log.term_at(peer.next_index - 1).is_none() {
            return self.start_snapshot(leader, id, peer);
        }
        let entries = self.log.slice(
            peer.next_index,
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
        let previous_index = peer.next_index - 1;
        let Some(previous_term) = self.log.term_at(previous_index) else {
            return self.start_snapshot(leader, id, peer);
        };
        match (peer.mode, entries.last()) {
            (Mode::Probe, _) => peer.probe_in_flight = true,
            (Mode::Replicate, Some(last)) => {
                peer.next_index = last.index + 1;
                let bytes = entries.iter().map(Entry::size).sum();
                peer.inflight.push_back(InflightAppend {
                    last_index: last.index,
                    bytes,
                    sent_before: leader.next_heartbeat,
                });
            }
            _ => {}
        }
        let body = MessageBody::Append {
            previous_index,
            previous_term,
            commit: self.commit_index,
            round: leader.round,
            entries,
        };
        self.send(id, body);
    }

    /// Processes an append as a follower (section 3.5).
    pub(super) fn handle_append(
        &mut self,
        previous: (u64, u64),
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        let Some(leader) = self.leader else { return };
        let (index, term) = previous;
        // Entries committed here are in the leader's log as well (section
        // 3.6.3).
        let matches = index <= self.commit_index || self.log.term_at(index) == Some(term);
        if !matches {
            let body = MessageBody::AppendReply {
                accepted: false,
                index: self.conflict_hint(index),
                round,
            };
            return self.send(leader, body);
        }
        let mut last = index;
        for entry in entries {
            // Only a faulty peer sends indices that are not consecutive.
            if entry.index != last + 1 || !self.accept_entry(entry) {
                return;
            }
            last += 1;
        }
        if commit.min(last) > self.commit_index {
            self.commit_index = commit.min(last);
            self.trim_membership_history();
        }
        let body = MessageBody::AppendReply {
            accepted: true,
            index: last,
            round,
        };
        self.send(leader, body);
    }

    fn accept_entry(&mut self, entry: Entry) -> bool {
        if entry.index <= self.commit_index || self.log.term_at(entry.index) == Some(entry.term) {
            return true;
        }
        if entry.index <= self.log.last_index() {
            self.truncate(entry.index);
        }
        self.append_from_leader(entry);
        true
    }

    fn conflict_hint(&self, index: u64) -> u64 {
        let before = self.log.before_term_of(index);
        before.min(index - 1).min(self.log.last_index())
    }

    /// Processes the reply to an append.
    pub(super) fn handle_append_reply(
        &mut self,
        from: DiskId,
        accepted: bool,
        index: u64,
        round: u64,
        now: Instant,
    ) {
        let last = self.log.last_index();
        self.with_peer(from, |_, _, peer| {
            peer.last_heard = Some(now);
            peer.answered_round = peer.answered_round.max(round);
            match accepted {
                true if index <= last => peer.on_accepted(index),
                true => {}
                false => peer.on_rejected(index),
            }
        });
        self.update_confirmed_round();
        self.advance_commit(now);
    }

    pub(super) fn update_confirmed_round(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let round = self.quorum_value(|id| leader.answered_round(self.id, id));
        if let (Role::Leader(leader), Some(round)) = (&mut self.role, round) {
            leader.confirm_round(round);
        }
        self.release_confirmed_reads();
    }
}
