//! Quorums, and which of them are needed while a new cluster forms.

use super::{Node, Role};
use crate::leader::Leader;
use crate::{DiskId, EntryBody, Members, Peer, VoterReplacement};
use std::time::{Duration, Instant};

impl Node {
    /// Returns whether this leader accepts commands.
    ///
    /// A new cluster starts with few voters. Until it has the desired number, a
    /// command could be committed on fewer disks than may be lost at once. If
    /// no further replica is found for as long as a voter may be silent, the
    /// missing ones count as lost.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert!(!node.accepts_commands(now));
    /// ```
    #[must_use]
    pub fn accepts_commands(&self, now: Instant) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let Some(policy) = self.cfg.voter_replacement else {
            return true;
        };
        if !self.needs_all_answers(policy) {
            return self.members().voters.len() >= policy.min_copies();
        }
        if !self.has_committed_in_term() {
            return false;
        }
        let unchanged = now.saturating_duration_since(leader.members_changed_at);
        self.members().voters.len() >= policy.min_copies() && unchanged >= policy.lost_after
    }

    /// Returns whether an entry is committed only once all voters that answer hold it:
    /// until the desired voters are committed or, if some never come, the first command.
    ///
    /// A voter that answers thus knows whether anything may have been acknowledged.
    fn needs_all_answers(&self, policy: VoterReplacement) -> bool {
        if let Some(first) = self.first_command {
            // Commands are accepted only after that.
            return first > self.commit_index && self.members().voters.len() < policy.voters;
        }
        let mut newest_first = self.membership_history.iter().rev();
        let committed = newest_first.find(|(changed_at, _)| *changed_at <= self.commit_index);
        committed.is_none_or(|(_, members)| members.voters.len() < policy.voters)
    }

    /// Returns whether this replica holds no command yet.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert!(node.is_forming());
    /// ```
    #[must_use]
    pub fn is_forming(&self) -> bool {
        self.first_command.is_none()
    }

    /// Records that the disk of a voter is lost if another disk is in use on its host.
    ///
    /// Does nothing if a leader may have stopped waiting for this replica by now: it
    /// may have committed entries that are not known here before that disk was lost.
    pub(super) fn record_lost_disk(&mut self, id: DiskId, peer: &Peer, now: Instant) {
        let Some(policy) = self.cfg.voter_replacement else {
            return;
        };
        let confirmed_at = match &self.role {
            Role::Leader(leader) => leader.last_confirmed.map(|(_, at)| at),
            _ => None,
        };
        let included_at = self.included_at.max(confirmed_at);
        let waited_for = policy.lost_after.saturating_sub(self.cfg.election_timeout);
        let is_included = |at| now.saturating_duration_since(at) < waited_for;
        let former = self.members().former_voter(id, peer);
        if let Some(former) = former.filter(|former| *former != self.id)
            && included_at.is_some_and(is_included)
        {
            self.lost_disks.insert(former);
        }
    }

    /// Records that the disk of a voter is lost if another disk is in use on its host.
    ///
    /// A quorum without that voter must consist of answers to requests that were sent after
    /// this is known: an earlier answer may be that of a disk that is lost by now.
    pub(super) fn record_replaced_disk(&mut self, id: DiskId, peer: &Peer, now: Instant) {
        let Some(former) = self.members().former_voter(id, peer) else {
            return;
        };
        if former == self.id || !self.replaced_disks.insert(former) {
            return;
        }
        match &mut self.role {
            Role::Leader(leader) => leader.rounds_before_loss = leader.round,
            Role::PreCandidate(_) | Role::Candidate(_) => {
                self.become_follower(self.hard_state.term, now);
                self.election_deadline = now;
            }
            Role::Follower => {}
        }
    }

    /// Returns whether the voters for which `is_counted` returns true are a quorum of the
    /// members in force: a regular one or, in a new cluster that has fewer voters than
    /// desired, all whose disks are not lost.
    ///
    /// The first voters of a cluster may lose more disks than a majority
    /// tolerates before others have joined. Nothing has been acknowledged by
    /// then, or this replica would hold it; see [`Node::needs_all_answers`].
    pub(super) fn is_quorum(&self, is_counted: impl Fn(DiskId) -> bool) -> bool {
        self.is_regular_quorum(&is_counted) || self.is_reduced_quorum(self.members(), is_counted)
    }

    /// Returns whether these voters are a majority. With a standby voter, fewer are enough if
    /// a disk is known to be lost.
    ///
    /// Such a quorum need not have a voter in common with a majority after the next change of
    /// the voters. Until a change to or from voters with a standby is committed, a quorum of
    /// the voters before it is needed as well.
    pub(super) fn is_regular_quorum(&self, is_counted: impl Fn(DiskId) -> bool) -> bool {
        let members = self.members();
        let is_majority = members.is_majority(&is_counted);
        match self.members_before_change() {
            None => is_majority || self.is_standby_quorum(members, is_counted),
            Some(previous) if self.has_standby(previous) || self.has_standby(members) => {
                let was_majority = previous.is_majority(&is_counted);
                is_majority && (was_majority || self.is_standby_quorum(previous, is_counted))
            }
            Some(_) => is_majority,
        }
    }

    /// Returns the members before a change of the voters that is not committed, if there is
    /// one.
    pub(super) fn members_before_change(&self) -> Option<&Members> {
        let (_, previous) = self.membership_history.iter().rev().nth(1)?;
        let is_same = previous.voters.keys().eq(self.members().voters.keys());
        (!is_same && !self.membership_committed()).then_some(previous)
    }

    /// Returns whether these members have more voters than desired.
    pub(super) fn has_standby(&self, members: &Members) -> bool {
        let desired = self.cfg.voter_replacement.map(|policy| policy.voters);
        desired.is_some_and(|desired| members.voters.len() > desired)
    }

    fn is_standby_quorum(&self, members: &Members, is_counted: impl Fn(DiskId) -> bool) -> bool {
        let is_lost = |id: DiskId| self.replaced_disks.contains(&id);
        if !self.has_standby(members) || members.count_voters(is_lost) == 0 {
            return false;
        }
        let is_counted = |id| is_counted(id) && !is_lost(id) && self.answers_after_loss(id);
        members.count_voters(is_counted) >= members.majority_without_lost()
    }

    /// Returns whether the answers of a voter are to requests that were sent after the latest
    /// loss of a disk was known. The votes of a candidate are; see
    /// [`Node::record_replaced_disk`].
    fn answers_after_loss(&self, id: DiskId) -> bool {
        match &self.role {
            Role::Leader(leader) => leader.answered_round(self.id, id) > leader.rounds_before_loss,
            _ => true,
        }
    }

    pub(super) fn is_reduced_quorum(
        &self,
        members: &Members,
        is_counted: impl Fn(DiskId) -> bool,
    ) -> bool {
        let counted = members.count_voters(&is_counted);
        let desired = self.cfg.voter_replacement.map_or(0, |policy| policy.voters);
        let may_be_reduced = self.first_command.is_none() && members.voters.len() < desired;
        let is_counted_or_lost = |id| is_counted(id) || self.lost_disks.contains(&id);
        may_be_reduced && counted > 0 && members.voters.keys().copied().all(is_counted_or_lost)
    }

    /// Returns the number of terms by which an election that these voters have agreed
    /// to starts; `None` if they are no quorum.
    ///
    /// A reduced quorum need not overlap with the one that elected an earlier leader. Its
    /// election waits until that leader would be heard, and takes a term that no leader had.
    pub(super) fn term_step(
        &self,
        is_counted: impl Fn(DiskId) -> bool,
        now: Instant,
    ) -> Option<u64> {
        const REDUCED_QUORUM_TERMS: u64 = 1 << 20;
        if self.is_regular_quorum(&is_counted) {
            return Some(1);
        }
        let lost_after = self.cfg.voter_replacement?.lost_after;
        let silence = now.saturating_duration_since(self.leader_heard_at);
        let is_allowed =
            silence >= lost_after && self.is_reduced_quorum(self.members(), is_counted);
        is_allowed.then_some(REDUCED_QUORUM_TERMS)
    }

    /// Returns the highest value that a quorum has reached.
    pub(super) fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(DiskId) -> T) -> Option<T> {
        let members = self.members();
        let mut values: Vec<T> = members.voters.keys().map(|id| value(*id)).collect();
        values.sort_unstable();
        let mut highest_first = values.into_iter().rev();
        highest_first.find(|reached| self.is_quorum(|id| value(id) >= *reached))
    }

    /// Returns the index of the last entry that may be committed: one that a quorum
    /// holds and, while there are fewer voters than desired, as many of the voters
    /// that answer as must survive the tolerated losses. In a new cluster these are
    /// all.
    pub(super) fn committable_index(&self, leader: &Leader, now: Instant) -> Option<u64> {
        let match_index = |id: DiskId| {
            if id == self.id {
                return self.synced_index;
            }
            leader.peers.get(&id).map_or(0, |p| p.match_index)
        };
        let index = self.quorum_value(match_index)?;
        let Some(policy) = self.cfg.voter_replacement else {
            return Some(index);
        };
        let needs_all = self.needs_all_answers(policy);
        let members = self.members();
        if !needs_all && members.voters.len() >= policy.voters {
            return Some(index);
        }
        let answers =
            |id: &DiskId| !self.lost_disks.contains(id) && !self.is_silent(leader, *id, now);
        let answering = members.voters.keys().copied().filter(answers);
        let mut matches: Vec<u64> = answering.map(match_index).collect();
        matches.sort_unstable();
        let needed = if needs_all {
            matches.len()
        } else {
            matches.len().min(policy.min_copies())
        };
        let held_by_needed = matches.into_iter().rev().nth(needed.checked_sub(1)?)?;
        Some(held_by_needed.min(index))
    }

    /// Returns whether a voter has been silent for so long that it counts as lost.
    fn is_silent(&self, leader: &Leader, id: DiskId, now: Instant) -> bool {
        let policy = self.cfg.voter_replacement;
        policy.is_some_and(|policy| self.silence(leader, id, now) >= policy.lost_after)
    }

    /// Returns the time without a message from a voter.
    pub(super) fn silence(&self, leader: &Leader, id: DiskId, now: Instant) -> Duration {
        if id == self.id {
            return Duration::ZERO;
        }
        let last_heard = leader.peers.get(&id).and_then(|peer| peer.last_heard);
        now.saturating_duration_since(last_heard.unwrap_or(leader.elected_at))
    }

    /// Records the index of an entry that is appended if it is the first command.
    pub(super) fn record_first_command(&mut self, index: u64, body: &EntryBody) {
        if matches!(body, EntryBody::Command(_)) {
            self.first_command.get_or_insert(index);
        }
    }
}
