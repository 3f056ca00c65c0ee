//! Transfer of snapshots to replicas that are far behind (section 5).

use super::{Node, Role};
use crate::incoming_snapshot::IncomingSnapshot;
use crate::leader::Leader;
use crate::log::Log;
use crate::progress::{Mode, Progress};
use crate::{DiskId, MessageBody, Snapshot};
use bytes::Bytes;
use std::time::Instant;

impl Node {
    /// Records a synced snapshot of the state machine and compacts the log.
    /// Only entries returned for applying may be covered.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let mut node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// // Beyond the last applied entry, so it is ignored.
    /// node.compact(Snapshot { index: 9, ..Snapshot::default() });
    /// assert_eq!(node.snapshot().index, 0);
    /// ```
    pub fn compact(&mut self, snapshot: Snapshot) {
        if snapshot.index <= self.snapshot.index || snapshot.index > self.applied_index {
            return;
        }
        let by_count = snapshot.index.saturating_sub(self.cfg.trailing_entries);
        let by_size = self
            .log
            .index_before(snapshot.index, self.cfg.trailing_bytes);
        let keep_from = by_count.max(by_size);
        self.snapshot = snapshot;
        self.log.compact(keep_from);
        self.trim_membership_history();
    }

    pub(super) fn start_snapshot(&mut self, leader: &Leader, id: DiskId, peer: &mut Progress) {
        peer.mode = Mode::Snapshot {
            index: self.snapshot.index,
            offset: 0,
        };
        peer.inflight.clear();
        self.send_chunk(leader, id, peer);
    }

    pub(super) fn send_chunk(&mut self, leader: &Leader, id: DiskId, peer: &mut Progress) {
        let Mode::Snapshot { index, offset } = peer.mode else {
            return;
        };
        if index != self.snapshot.index {
            // A newer snapshot has replaced the one being sent.
            return self.start_snapshot(leader, id, peer);
        }
        let data = &self.snapshot.data;
        let from = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(data.len());
        let to = data.len().min(from + self.cfg.snapshot_chunk_bytes);
        let body = MessageBody::InstallSnapshot {
            index,
            term: self.snapshot.term,
            members: self.snapshot.members.clone(),
            offset: from as u64,
            chunk: data.slice(from..to),
            done: to == data.len(),
            round: leader.round,
        };
        self.send(id, body);
    }

    /// Processes a snapshot chunk as a follower.
    pub(super) fn handle_install_snapshot(&mut self, body: MessageBody) {
        let MessageBody::InstallSnapshot {
            index,
            term,
            members,
            offset,
            chunk,
            done,
            round,
        } = body
        else {
            return;
        };
        let Some(leader) = self.leader else { return };
        let reply = |node: &mut Node, offset: u64, done: bool| {
            let body = MessageBody::SnapshotReply {
                index,
                offset,
                done,
                round,
            };
            node.send(leader, body);
        };
        let known = index <= self.commit_index || self.log.term_at(index) == Some(term);
        if known && index > 0 {
            self.commit_index = self.commit_index.max(index);
            self.incoming_snapshot = None;
            return reply(self, 0, true);
        }
        let is_same = |i: &IncomingSnapshot| i.index == index && i.term == term;
        if !self.incoming_snapshot.as_ref().is_some_and(is_same) {
            self.incoming_snapshot = Some(IncomingSnapshot {
                index,
                term,
                members,
                data: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming_snapshot else {
            return;
        };
        let received = incoming.data.len() as u64;
        if offset == received {
            incoming.data.extend_from_slice(&chunk);
        }
        let received_now = incoming.data.len() as u64;
        if offset == received && done {
            self.finish_incoming_snapshot();
            reply(self, received_now, true);
        } else {
            reply(self, received_now, false);
        }
    }

    fn finish_incoming_snapshot(&mut self) {
        let Some(incoming) = self.incoming_snapshot.take() else {
            return;
        };
        let snapshot = Snapshot {
            index: incoming.index,
            term: incoming.term,
            members: incoming.members,
            data: Bytes::from(incoming.data),
        };
        self.log = Log::new(snapshot.index, snapshot.term);
        self.membership_history = vec![(snapshot.index, snapshot.members.clone())];
        self.first_command = (snapshot.index > 0).then_some(snapshot.index);
        self.commit_index = snapshot.index;
        self.issued_index = snapshot.index;
        self.synced_index = 0;
        self.restore = None;
        self.received_snapshot = Some(snapshot);
    }

    /// Processes the reply to a snapshot chunk.
    pub(super) fn handle_snapshot_reply(
        &mut self,
        from: DiskId,
        position: (u64, u64),
        done: bool,
        round: u64,
        now: Instant,
    ) {
        let (index, received) = position;
        self.with_peer(from, |node, leader, peer| {
            peer.last_heard = Some(now);
            peer.answered_round = peer.answered_round.max(round);
            let Mode::Snapshot {
                index: sent,
                offset,
            } = peer.mode
            else {
                return;
            };
            if sent != index {
                return;
            }
            if done {
                peer.become_probe();
                peer.match_index = peer.match_index.max(index);
                peer.next_index = peer.match_index + 1;
            } else if received != offset {
                peer.mode = Mode::Snapshot {
                    index,
                    offset: received,
                };
                node.send_chunk(leader, from, peer);
            }
        });
        self.update_confirmed_round();
        self.advance_commit(now);
    }

    /// Returns the latest snapshot.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert_eq!(node.snapshot().index, 0);
    /// ```
    #[must_use]
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(super) fn is_sending_snapshot(&self, id: DiskId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let peer = leader.peers.get(&id);
        peer.is_some_and(|p| matches!(p.mode, Mode::Snapshot { .. }))
    }
}
