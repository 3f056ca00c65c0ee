//! Membership changes, one at a time (section 4).

use super::{Node, Role};
use crate::progress::Progress;
use crate::{DiskId, EntryBody, Members, MessageBody, Peer};
use std::time::Instant;

/// Smallest number of voters of which one may be lost. Fewer would lose their majority more
/// easily with a standby.
const MIN_VOTERS_FOR_LOSSES: usize = 3;

impl Node {
    /// Processes a join request: the leader adds the replica as a learner, and
    /// another replica forwards the request. The new replica may know no address
    /// of the leader.
    pub(super) fn handle_join(&mut self, from: DiskId, id: DiskId, peer: Peer, now: Instant) {
        if !self.is_leader() {
            // A request that was forwarded already is dropped: two replicas
            // that each take the other for the leader would send it for ever.
            if let Some(leader) = self.leader.filter(|_| from == id) {
                self.send_in_term(leader, 0, MessageBody::Join { id, peer });
            }
            return;
        }
        if !self.can_change_membership(now) || self.members().peer(id) == Some(&peer) {
            return;
        }
        // Two processes with the same name are a configuration error. The one
        // that leads must not be replaced by the other.
        let own_peer = self.members().peer(self.id).filter(|_| id != self.id);
        if own_peer.is_some_and(|own| own.is_same_host(&peer)) {
            return;
        }
        let mut members = self.members().clone();
        if let Some(known) = members.voters.get_mut(&id) {
            *known = peer;
        } else {
            members
                .learners
                .retain(|_, other| !other.is_same_host(&peer));
            members.learners.insert(id, peer);
        }
        self.change_members(&members, now);
    }

    /// Removes a replica permanently, on request of an operator.
    ///
    /// Returns false if the replica cannot be removed now: this replica is not
    /// the leader, another change is not committed yet, or the remaining voters
    /// would have no live majority.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let mut node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert!(!node.remove_member(DiskId(2), now));
    /// ```
    pub fn remove_member(&mut self, id: DiskId, now: Instant) -> bool {
        if !self.can_change_membership(now) || id == self.id || !self.members().contains(id) {
            return false;
        }
        let mut members = self.members().clone();
        members.voters.remove(&id);
        members.learners.remove(&id);
        if !self.has_live_quorum(&members, now) {
            return false;
        }
        self.change_members(&members, now);
        true
    }

    /// Returns whether a membership change may start. Changes are made one at a
    /// time, each committed before the next, and none before the leader has
    /// committed an entry of its own term. Otherwise majorities of two
    /// configurations need not overlap, and each could elect a leader.
    fn can_change_membership(&self, now: Instant) -> bool {
        self.has_lease(now) && self.has_committed_in_term() && self.membership_committed()
    }

    pub(super) fn membership_committed(&self) -> bool {
        let changed_at = self.members_changed_at();
        changed_at.is_none_or(|changed_at| changed_at <= self.commit_index)
    }

    /// Returns the index of the latest membership change.
    pub(super) fn members_changed_at(&self) -> Option<u64> {
        let newest = self.membership_history.last();
        newest.map(|(changed_at, _)| *changed_at)
    }

    /// Takes the next step towards the desired voters: removes the former disk
    /// of a caught-up learner or a silent voter, then promotes the learner to
    /// voter.
    pub(super) fn advance_membership(&mut self, now: Instant) {
        if !self.can_change_membership(now) {
            return;
        }
        if let Some(next) = self.without_silent_voter(now) {
            return self.change_members(&next, now);
        }
        let learners: Vec<DiskId> = self.members().learners.keys().copied().collect();
        for id in learners {
            if !self.has_caught_up(id, now) {
                continue;
            }
            if let Some(next) = self.promotion_step(id, now) {
                return self.change_members(&next, now);
            }
        }
    }

    fn has_caught_up(&self, id: DiskId, now: Instant) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let match_index = leader.peers.get(&id).map_or(0, |p| p.match_index);
        match_index >= leader.commit_at_previous_heartbeat
            && !self.is_sending_snapshot(id)
            && leader.is_active(id, now, self.cfg.election_timeout)
    }

    fn promotion_step(&self, id: DiskId, now: Instant) -> Option<Members> {
        let mut next = self.members().clone();
        let peer = next.learners.get(&id)?;
        if let Some(former) = next.former_voter(id, peer) {
            if self.is_active(former, now) {
                return None;
            }
            next.voters.remove(&former);
        } else if self.has_all_voters() && !self.accepts_standby(now) {
            next.voters.remove(&self.silent_voter(now)?);
        } else {
            let peer = next.learners.remove(&id)?;
            next.voters.insert(id, peer);
        }
        self.has_live_quorum(&next, now).then_some(next)
    }

    fn has_all_voters(&self) -> bool {
        let desired = self.cfg.voter_replacement.map(|policy| policy.voters);
        desired.is_some_and(|desired| self.members().voters.len() >= desired)
    }

    /// Returns whether a caught-up learner becomes a standby voter: one more than desired.
    ///
    /// A host that is replaced on purpose stops without notice once its successor has caught
    /// up, and a disk may be lost right after that. A successor that still were a learner
    /// would not count, and too few voters would be left; see [`Node::is_regular_quorum`].
    fn accepts_standby(&self, now: Instant) -> bool {
        let voters = &self.members().voters;
        let desired = self.cfg.voter_replacement.map(|policy| policy.voters);
        desired.is_some_and(|desired| desired >= MIN_VOTERS_FOR_LOSSES && voters.len() == desired)
            && voters.keys().all(|id| self.is_active(*id, now))
    }

    /// Returns the members without a silent voter, if there is a standby.
    fn without_silent_voter(&self, now: Instant) -> Option<Members> {
        if !self.has_standby(self.members()) {
            return None;
        }
        let mut next = self.members().clone();
        next.voters.remove(&self.silent_voter(now)?);
        self.has_live_quorum(&next, now).then_some(next)
    }

    /// Returns a voter that has been silent for so long that a caught-up replica takes its
    /// place.
    fn silent_voter(&self, now: Instant) -> Option<DiskId> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let replaced_after = self.cfg.voter_replacement?.replaced_after();
        let is_silent = |id: &&DiskId| self.silence(leader, **id, now) >= replaced_after;
        self.members().voters.keys().find(is_silent).copied()
    }

    /// Returns whether a quorum of these members is live. A change that its new
    /// quorum cannot commit would stop the cluster.
    fn has_live_quorum(&self, members: &Members, now: Instant) -> bool {
        let is_active = |id| self.is_active(id, now);
        members.is_majority(is_active) || self.is_reduced_quorum(members, is_active)
    }

    fn is_active(&self, id: DiskId, now: Instant) -> bool {
        match &self.role {
            Role::Leader(leader) => {
                id == self.id || leader.is_active(id, now, self.cfg.election_timeout)
            }
            _ => false,
        }
    }

    fn change_members(&mut self, members: &Members, now: Instant) {
        let index = self.append_as_leader(EntryBody::Members(members.clone()));
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.members_changed_at = now;
        leader.peers.retain(|id, _| members.contains(*id));
        for id in members.ids().filter(|id| *id != self.id) {
            let new_progress = || Progress::new(index);
            leader.peers.entry(id).or_insert_with(new_progress);
        }
    }
}
