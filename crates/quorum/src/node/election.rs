//! Elections: who leads in which term.

use super::{Node, Role};
use crate::leader::Leader;
use crate::progress::Progress;
use crate::{DiskId, EntryBody, Message, MessageBody};
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

impl Node {
    /// Compares terms (section 3.3); false if the message is dealt with.
    pub(super) fn enter_term(&mut self, message: &Message, now: Instant) -> bool {
        if message.term < self.hard.term {
            self.answer_stale(message);
            return false;
        }
        if message.term == self.hard.term {
            return true;
        }
        match message.body {
            MessageBody::VoteRequest { pre_vote: true, .. }
            | MessageBody::VoteReply {
                pre_vote: true,
                granted: true,
            } => return true,
            // A voter that hears its leader gives no vote and keeps its term
            // (section 4.2.3). Without this the leader lease would be void:
            // two leaders would answer reads at the same time.
            MessageBody::VoteRequest {
                pre_vote: false, ..
            } if self.hears_leader(now) => return false,
            _ => self.become_follower(message.term, now),
        }
        true
    }

    /// Tells an old leader or candidate of the newer term.
    fn answer_stale(&mut self, message: &Message) {
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

    fn hears_leader(&self, now: Instant) -> bool {
        if self.is_leader() {
            return self.has_lease(now);
        }
        now.saturating_duration_since(self.heard) < self.cfg.election_timeout
    }

    pub(super) fn become_follower(&mut self, term: u64, now: Instant) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.hard_changed = true;
            self.leader = None;
        }
        if let Role::Leader(leader) = &self.role {
            let tokens = leader.reads.iter().map(|r| r.token);
            self.refused_reads.extend(tokens);
            self.leader = None;
        }
        self.role = Role::Follower;
        self.put_off_election(now);
    }

    /// Takes the sender of an append for the leader of this term.
    pub(super) fn follow(&mut self, leader: DiskId, now: Instant) {
        if !matches!(self.role, Role::Follower) {
            self.become_follower(self.hard.term, now);
        }
        self.leader = Some(leader);
        self.heard = now;
        self.put_off_election(now);
    }

    pub(super) fn ask_for_election(&mut self, now: Instant) {
        self.leader = None;
        self.put_off_election(now);
        self.role = Role::PreCandidate(BTreeMap::new());
        self.ask_for_votes(self.hard.term + 1, true, now);
    }

    fn campaign(&mut self, now: Instant) {
        self.hard.term += 1;
        self.hard.vote = Some(self.id);
        self.hard_changed = true;
        self.put_off_election(now);
        self.role = Role::Candidate(BTreeMap::new());
        self.ask_for_votes(self.hard.term, false, now);
    }

    fn ask_for_votes(&mut self, term: u64, pre_vote: bool, now: Instant) {
        let body = MessageBody::VoteRequest {
            pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let voters: Vec<DiskId> = self.members().voters.keys().copied().collect();
        for to in voters {
            if to != self.id {
                self.send_in_term(to, term, body.clone());
            }
        }
        if pre_vote {
            return self.count_vote(self.id, true, true, now);
        }
        // The own vote counts once it is synced, as that of any other voter.
        let granted = true;
        self.send(self.id, MessageBody::VoteReply { pre_vote, granted });
    }

    pub(super) fn answer_vote(
        &mut self,
        from: DiskId,
        term: u64,
        pre_vote: bool,
        last: (u64, u64),
        now: Instant,
    ) {
        // Section 3.6.1: only a log that holds all that is committed may lead.
        let whole = last >= (self.log.last_term(), self.log.last_index());
        let granted = if pre_vote {
            whole && term > self.hard.term && !self.hears_leader(now)
        } else {
            let free = self.hard.vote.is_none_or(|vote| vote == from);
            whole && free && self.leader.is_none() && !self.hears_leader(now)
        };
        if granted && !pre_vote {
            if self.hard.vote.is_none() {
                self.hard.vote = Some(from);
                self.hard_changed = true;
            }
            self.put_off_election(now);
        }
        let reply_term = if pre_vote && granted {
            term
        } else {
            self.hard.term
        };
        self.send_in_term(
            from,
            reply_term,
            MessageBody::VoteReply { pre_vote, granted },
        );
    }

    pub(super) fn count_vote(&mut self, from: DiskId, pre_vote: bool, granted: bool, now: Instant) {
        let members = self.members().clone();
        let votes = match &mut self.role {
            Role::PreCandidate(votes) if pre_vote => votes,
            Role::Candidate(votes) if !pre_vote => votes,
            _ => return,
        };
        votes.insert(from, granted);
        let yes = |id: &&DiskId| votes.get(id) == Some(&true);
        if members.voters.keys().filter(yes).count() < members.majority() {
            return;
        }
        if pre_vote {
            self.campaign(now);
        } else {
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
            begun: VecDeque::new(),
            confirmed: None,
            next_beat: now,
            since: now,
            noop: next,
            reads: Vec::new(),
            commit_at_beat: self.commit,
            commit_before: self.commit,
        };
        self.role = Role::Leader(Box::new(leader));
        self.leader = Some(self.id);
        self.order(EntryBody::Noop);
        self.lead(now);
    }
}
