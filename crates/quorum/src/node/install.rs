//! Snapshots from the leader to a replica that is far behind (section 5).

use super::{Node, Role};
use crate::incoming::Incoming;
use crate::leader::Leader;
use crate::log::Log;
use crate::progress::{Mode, Progress};
use crate::{DiskId, MessageBody, Snapshot};
use bytes::Bytes;
use std::time::Instant;

impl Node {
    /// Tells of a snapshot that the state machine has made and synced, at an
    /// entry that was handed out. The log before it may go.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let mut node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// // Beyond what was handed out: ignored.
    /// node.compact(Snapshot { index: 9, ..Snapshot::default() });
    /// assert_eq!(node.snapshot().index, 0);
    /// ```
    pub fn compact(&mut self, snapshot: Snapshot) {
        if snapshot.index <= self.snapshot.index || snapshot.index > self.applied {
            return;
        }
        let keep_from = snapshot.index.saturating_sub(self.cfg.trailing_entries);
        self.snapshot = snapshot;
        self.log.compact(keep_from);
        self.forget_members();
    }

    pub(super) fn begin_snapshot(&mut self, leader: &Leader, id: DiskId, peer: &mut Progress) {
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
            // A newer snapshot has replaced the one that was being sent.
            return self.begin_snapshot(leader, id, peer);
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

    /// A follower's part.
    pub(super) fn install(&mut self, piece: MessageBody) {
        let MessageBody::InstallSnapshot {
            index,
            term,
            members,
            offset,
            chunk,
            done,
            round,
        } = piece
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
        let known = index <= self.commit || self.log.term_at(index) == Some(term);
        if known && index > 0 {
            self.commit = self.commit.max(index);
            self.incoming = None;
            return reply(self, 0, true);
        }
        let same = |i: &Incoming| i.index == index && i.term == term;
        if !self.incoming.as_ref().is_some_and(same) {
            self.incoming = Some(Incoming {
                index,
                term,
                members,
                data: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else {
            return;
        };
        let held = incoming.data.len() as u64;
        if offset == held {
            incoming.data.extend_from_slice(&chunk);
        }
        let held_now = incoming.data.len() as u64;
        if offset == held && done {
            self.received_whole();
            reply(self, held_now, true);
        } else {
            reply(self, held_now, false);
        }
    }

    fn received_whole(&mut self) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        let snapshot = Snapshot {
            index: incoming.index,
            term: incoming.term,
            members: incoming.members,
            data: Bytes::from(incoming.data),
        };
        self.log = Log::new(snapshot.index, snapshot.term);
        self.members = vec![(snapshot.index, snapshot.members.clone())];
        self.commit = snapshot.index;
        self.handed = snapshot.index;
        self.stable = 0;
        self.restore = None;
        self.received = Some(snapshot);
    }

    /// The reply to a piece.
    pub(super) fn installed(
        &mut self,
        from: DiskId,
        place: (u64, u64),
        done: bool,
        round: u64,
        now: Instant,
    ) {
        let (index, held) = place;
        self.with_peer(from, |node, leader, peer| {
            peer.heard = Some(now);
            peer.round = peer.round.max(round);
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
                peer.probe();
                peer.match_index = peer.match_index.max(index);
                peer.next = peer.match_index + 1;
            } else if held != offset {
                peer.mode = Mode::Snapshot {
                    index,
                    offset: held,
                };
                node.send_chunk(leader, from, peer);
            }
        });
        self.confirm();
        self.advance_commit();
    }

    /// The newest snapshot.
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
