//! Changes of the members, one at a time (section 4).

use super::{Node, Role};
use crate::progress::Progress;
use crate::{DiskId, EntryBody, Members, Peer};
use std::time::Instant;

impl Node {
    /// A blank replica asks to be taken in: it becomes a learner.
    pub(super) fn take_in(&mut self, id: DiskId, peer: Peer, now: Instant) {
        if !self.may_change(now) || self.members().contains(id) {
            return;
        }
        // Two processes under one name are a mistake in their settings; the
        // one that leads is not replaced by the other.
        let own = self.members().peer(self.id);
        if own.is_some_and(|own| own.name == peer.name) {
            return;
        }
        let mut members = self.members().clone();
        members.learners.retain(|_, other| other.name != peer.name);
        members.learners.insert(id, peer);
        self.change(&members);
    }

    /// Removes a replica for good, as an operator orders it.
    ///
    /// Returns false if that can't be done now: this replica doesn't lead, a
    /// change is under way, or the rest would have no majority.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let mut node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert!(!node.remove_member(DiskId(2), now));
    /// ```
    pub fn remove_member(&mut self, id: DiskId, now: Instant) -> bool {
        if !self.may_change(now) || id == self.id || !self.members().contains(id) {
            return false;
        }
        let mut members = self.members().clone();
        members.voters.remove(&id);
        members.learners.remove(&id);
        if !self.has_live_majority(&members, now) {
            return false;
        }
        self.change(&members);
        true
    }

    /// One change at a time, each committed before the next, and none before
    /// the leader has committed an entry of its own term: otherwise majorities
    /// of two configurations need not overlap, and each could elect a leader.
    fn may_change(&self, now: Instant) -> bool {
        self.has_lease(now) && self.has_committed_in_term() && self.membership_committed()
    }

    pub(super) fn membership_committed(&self) -> bool {
        let newest = self.members.last();
        newest.is_none_or(|(set, _)| *set <= self.commit)
    }

    /// Takes the next step of a repair: the former disk of a learner's host
    /// leaves, then the learner is made a voter.
    pub(super) fn advance_membership(&mut self, now: Instant) {
        if !self.may_change(now) {
            return;
        }
        let learners: Vec<DiskId> = self.members().learners.keys().copied().collect();
        for id in learners {
            if !self.has_caught_up(id, now) {
                continue;
            }
            if let Some(next) = self.promotion_step(id, now) {
                return self.change(&next);
            }
        }
    }

    fn has_caught_up(&self, id: DiskId, now: Instant) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let synced = leader.peers.get(&id).map_or(0, |p| p.match_index);
        synced >= leader.commit_before
            && !self.is_sending_snapshot(id)
            && leader.active(id, now, self.cfg.election_timeout)
    }

    fn promotion_step(&self, id: DiskId, now: Instant) -> Option<Members> {
        let mut next = self.members().clone();
        let name = next.learners.get(&id)?.name.clone();
        if let Some(former) = next.former_voter(id, &name) {
            if self.is_active(former, now) {
                return None;
            }
            next.voters.remove(&former);
        } else if self.has_all_voters() {
            let lost = self.lost_voter(now)?;
            next.voters.remove(&lost);
        } else {
            let peer = next.learners.remove(&id)?;
            next.voters.insert(id, peer);
        }
        self.has_live_majority(&next, now).then_some(next)
    }

    fn has_all_voters(&self) -> bool {
        let wanted = self.cfg.voter_replacement.map(|replace| replace.voters);
        wanted.is_some_and(|wanted| self.members().voters.len() >= wanted)
    }

    /// A voter that has been silent for so long that it counts as lost.
    fn lost_voter(&self, now: Instant) -> Option<DiskId> {
        let after = self.cfg.voter_replacement?.lost_after;
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let silent = |id: &DiskId| {
            let heard = leader.peers.get(id).and_then(|peer| peer.heard);
            let since = heard.unwrap_or(leader.since);
            now.saturating_duration_since(since) >= after
        };
        let mut others = self.members().voters.keys().filter(|id| **id != self.id);
        others.find(|id| silent(id)).copied()
    }

    /// A change that its new majority can't commit would stop the cluster.
    fn has_live_majority(&self, members: &Members, now: Instant) -> bool {
        let live = |id: &&DiskId| self.is_active(**id, now);
        members.voters.keys().filter(live).count() >= members.majority()
    }

    fn is_active(&self, id: DiskId, now: Instant) -> bool {
        match &self.role {
            Role::Leader(leader) => {
                id == self.id || leader.active(id, now, self.cfg.election_timeout)
            }
            _ => false,
        }
    }

    fn change(&mut self, members: &Members) {
        let index = self.order(EntryBody::Members(members.clone()));
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.peers.retain(|id, _| members.contains(*id));
        for id in members.ids().filter(|id| *id != self.id) {
            let new = || Progress::new(index);
            leader.peers.entry(id).or_insert_with(new);
        }
    }
}
