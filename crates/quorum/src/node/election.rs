//! Leader election.

use super::{Node, Role};
use crate::leader::Leader;
use crate::progress::Progress;
use crate::{DiskId, EntryBody, Message, MessageBody};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

impl Node {
    /// Compares the term of a message with the current one (section 3.3).
    /// Returns false if the message needs no further processing.
    pub(super) fn check_term(&mut self, message: &Message, now: Instant) -> bool {
        if message.term < self.hard_state.term {
            self.reply_to_stale_term(message);
            return false;
        }
        if message.term == self.hard_state.term {
            return true;
        }
        match message.body {
            MessageBody::VoteRequest { pre_vote: true, .. }
            | MessageBody::VoteReply {
                pre_vote: true,
                granted: true,
            } => return true,
            // A voter that hears from its leader does not vote and keeps its
            // term (section 4.2.3). Otherwise another leader could be elected
            // during the lease, and two leaders would answer reads.
            MessageBody::VoteRequest {
                pre_vote: false, ..
            } if self.has_live_leader(now) => return false,
            _ => self.become_follower(message.term, now),
        }
        true
    }

    /// Tells a leader or candidate of an older term about the current one.
    fn reply_to_stale_term(&mut self, message: &Message) {
        match message.body {
            MessageBody::Append { round, .. } | MessageBody::InstallSnapshot { round, .. } => {
                let body = MessageBody::AppendReply {
                    accepted: false,
                    index: 0,
                    round,
                };
                self.send(message.from, body);
            }
            MessageBody::VoteRequest { pre_vote, .. } => {
                let granted = false;
                self.send(message.from, MessageBody::VoteReply { pre_vote, granted });
            }
            _ => {}
        }
    }

    fn has_live_leader(&self, now: Instant) -> bool {
        if self.is_leader() {
            return self.has_lease(now);
        }
        now.saturating_duration_since(self.leader_heard_at) < self.cfg.election_timeout
    }

    pub(super) fn become_follower(&mut self, term: u64, now: Instant) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.hard_state_changed = true;
            self.leader = None;
        }
        if let Role::Leader(leader) = &self.role {
            let tokens = leader.pending_reads.iter().map(|r| r.token);
            self.refused_reads.extend(tokens);
            self.leader = None;
            let confirmed_at = leader.last_confirmed.map(|(_, at)| at);
            self.included_at = self.included_at.max(confirmed_at);
        }
        self.role = Role::Follower;
        self.reset_election_deadline(now);
    }

    /// Accepts the sender of an append as the leader of the current term.
    pub(super) fn accept_leader(&mut self, leader: DiskId, now: Instant) {
        if !matches!(self.role, Role::Follower) {
            self.become_follower(self.hard_state.term, now);
        }
        self.leader = Some(leader);
        self.leader_heard_at = now;
        self.included_at = Some(now);
        self.reset_election_deadline(now);
    }

    pub(super) fn start_pre_vote(&mut self, now: Instant) {
        self.leader = None;
        self.reset_election_deadline(now);
        self.role = Role::PreCandidate(BTreeMap::new());
        self.request_votes(self.hard_state.term + 1, true, now);
    }

    fn start_election(&mut self, term_step: u64, now: Instant) {
        self.hard_state.term += term_step;
        self.needs_majority = term_step == 1;
        self.hard_state.vote = Some(self.id);
        self.hard_state_changed = true;
        self.reset_election_deadline(now);
        self.role = Role::Candidate(BTreeMap::new());
        self.request_votes(self.hard_state.term, false, now);
    }

    fn request_votes(&mut self, term: u64, pre_vote: bool, now: Instant) {
        let body = MessageBody::VoteRequest {
            pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let mut voters: BTreeSet<DiskId> = self.members().voters.keys().copied().collect();
        if let Some(previous) = self.members_before_change() {
            voters.extend(previous.voters.keys());
        }
        for to in voters {
            if to != self.id {
                self.send_in_term(to, term, body.clone());
            }
        }
        if pre_vote {
            return self.handle_vote_reply(self.id, true, true, now);
        }
        // The vote for itself counts once it is synced, like any other vote.
        let granted = true;
        self.send(self.id, MessageBody::VoteReply { pre_vote, granted });
    }

    pub(super) fn handle_vote_request(
        &mut self,
        from: DiskId,
        term: u64,
        pre_vote: bool,
        last: (u64, u64),
        now: Instant,
    ) {
        // Section 3.6.1: only a replica whose log holds all committed entries
        // may become leader.
        let up_to_date = last >= (self.log.last_term(), self.log.last_index());
        let granted = if pre_vote {
            up_to_date && term > self.hard_state.term && !self.has_live_leader(now)
        } else {
            let vote_available = self.hard_state.vote.is_none_or(|vote| vote == from);
            up_to_date && vote_available && self.leader.is_none() && !self.has_live_leader(now)
        };
        if granted && !pre_vote {
            if self.hard_state.vote.is_none() {
                self.hard_state.vote = Some(from);
                self.hard_state_changed = true;
            }
            self.reset_election_deadline(now);
        }
        let reply_term = if pre_vote && granted {
            term
        } else {
            self.hard_state.term
        };
        self.send_in_term(
            from,
            reply_term,
            MessageBody::VoteReply { pre_vote, granted },
        );
    }

    pub(super) fn handle_vote_reply(
        &mut self,
        from: DiskId,
        pre_vote: bool,
        granted: bool,
        now: Instant,
    ) {
        let votes = match &mut self.role {
            Role::PreCandidate(votes) if pre_vote => votes,
            Role::Candidate(votes) if !pre_vote => votes,
            _ => return,
        };
        votes.insert(from, granted);
        let votes = votes.clone();
        let is_granted = |id| votes.get(&id) == Some(&true);
        if pre_vote {
            if let Some(term_step) = self.term_step(is_granted, now) {
                self.start_election(term_step, now);
            }
            return;
        }
        let is_elected = self.is_regular_quorum(is_granted)
            || !self.needs_majority && self.is_quorum(is_granted);
        if is_elected {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: Instant) {
        let next = self.log.last_index() + 1;
        let mut peers = BTreeMap::new();
        for id in self.members().ids().filter(|id| *id != self.id) {
            peers.insert(id, Progress::new(next));
        }
        let leader = Leader {
            peers,
            round: 0,
            unconfirmed_rounds: VecDeque::new(),
            last_confirmed: None,
            next_heartbeat: now,
            last_tick: now,
            unconfirmed_for: Duration::ZERO,
            elected_at: now,
            members_changed_at: now,
            noop_index: next,
            rounds_before_loss: 0,
            rounds_before_members: 0,
            pending_reads: Vec::new(),
            commit_at_heartbeat: self.commit_index,
            commit_at_previous_heartbeat: self.commit_index,
        };
        self.role = Role::Leader(Box::new(leader));
        self.leader = Some(self.id);
        // Whoever is elected holds all that was committed before (section 3.6.1).
        self.included_at = Some(now);
        self.append_as_leader(EntryBody::Noop);
        self.tick_leader(now);
    }
}
