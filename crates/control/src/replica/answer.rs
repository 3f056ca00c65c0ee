//! What nodes ask for.

use super::State;
use super::granting::Granting;
use crate::disk::Fullness;
use crate::reply::{Commit, Reply, unavailable};
use prost::Message as _;
use std::time::Instant;
use wire::proto::frame::Body;
use wire::proto::query::Body as Question;
use wire::proto::query_reply::Body as Answer;
use wire::proto::{
    Command, FetchNotes, NotLeader, Query, QueryReply, Renew, RenewBatch, Renewed, RenewedBatch,
};

/// Longest command, so that one doesn't hold up the log for all.
const MOST_COMMAND_BYTES: usize = 4 << 20;

impl State {
    /// Where to ask instead.
    pub(super) fn not_leader(&self) -> Body {
        let own = self.node.id();
        let leader = self.node.leader().filter(|id| *id != own);
        let peer = leader.and_then(|id| self.node.members().peer(id));
        let peer = peer.cloned().unwrap_or_default();
        Body::NotLeader(NotLeader {
            leader: peer.name,
            address: peer.address,
        })
    }

    /// Grants a lease, if this replica surely leads and has applied all that
    /// any leader before it acknowledged: a lease says that the note it names
    /// is the newest.
    pub(super) fn renew(&mut self, renew: Renew, reply: Reply, now: Instant) {
        let batch = RenewBatch {
            renewals: vec![renew],
        };
        let Some(mut batch) = self.renew_all(batch, now) else {
            return reply.send(self.not_leader());
        };
        let Some(renewed) = batch.renewals.pop() else {
            return reply.send(self.not_leader());
        };
        reply.send(Body::Renewed(Renewed {
            view: batch.views.pop(),
            quarantine: batch.quarantine,
            shared_view: 0,
            shared_quarantine: false,
            ..renewed
        }));
    }

    /// Grants the leases of several nodes that one of them has passed on. Each
    /// stands for itself: its incarnation, its note and its lease are its own.
    pub(super) fn renew_batch(&mut self, batch: RenewBatch, reply: Reply, now: Instant) {
        match self.renew_all(batch, now) {
            Some(renewed) => reply.send(Body::RenewedBatch(renewed)),
            None => reply.send(self.not_leader()),
        }
    }

    fn renew_all(&mut self, batch: RenewBatch, now: Instant) -> Option<RenewedBatch> {
        let surely = self.node.leased(now) && self.node.has_applied_own();
        let roster = self.roster.as_mut().filter(|_| surely)?;
        let known = self.machine.quarantine_message();
        let granting = Granting {
            note: self.machine.history().catalogue().number(),
            lease: self.settings.timing.lease,
            drained: self.machine.drained(),
            quarantine: known.version,
        };
        let mut renewed = granting.grant(roster, batch, now);
        self.metrics.renewal_messages.inc();
        self.metrics.renewals.inc_by(renewed.renewals.len() as u64);
        let asked = renewed.renewals.iter().any(|r| r.shared_quarantine);
        renewed.quarantine = asked.then_some(known);
        Some(renewed)
    }

    /// Any replica may answer: what it has applied is committed.
    pub(super) fn fetch_notes(&self, fetch: FetchNotes, reply: Reply) {
        let newest = self.machine.history().catalogue().number();
        if newest <= fetch.after && !self.node.is_leader() {
            return reply.send(self.not_leader());
        }
        reply.send(Body::Notes(self.machine.notes_after(fetch.after)));
    }

    pub(super) fn propose(&mut self, command: Command, reply: Reply, now: Instant) {
        if !self.node.is_leader() {
            return reply.send(self.not_leader());
        }
        match self.order(command, now) {
            Ok(place) => self.commands.insert(place, reply, now),
            Err(reason) => {
                self.metrics.refused_commands.inc();
                reply.send(unavailable(&reason, Commit::Never));
            }
        }
    }

    fn order(&mut self, mut command: Command, now: Instant) -> Result<(u64, u64), String> {
        if self.fullness == Fullness::Full {
            return Err("the disk of the leader is full".to_owned());
        }
        if self.commands.is_full() {
            return Err("too many commands wait".to_owned());
        }
        // Before that this leader doesn't know all that was ordered, and when.
        let Some(clock) = self.clock.filter(|_| self.node.has_applied_own()) else {
            return Err("the leader was elected just now".to_owned());
        };
        command.now_ms = clock.now_ms(now);
        let data = command.encode_to_vec();
        if data.len() > MOST_COMMAND_BYTES {
            return Err("the command is too long".to_owned());
        }
        let ordered = self.node.propose(data.into(), now);
        ordered.map_err(|e| e.to_string())
    }

    pub(super) fn query(&mut self, query: Query, reply: Reply) {
        if !self.node.is_leader() || self.reads.is_full() {
            return reply.send(self.not_leader());
        }
        let token = self.reads.insert(query, reply);
        if self.node.read(token).is_err()
            && let Some(reply) = self.reads.refused(token)
        {
            reply.send(self.not_leader());
        }
    }

    /// Answers the reads that the state machine has caught up with.
    pub(super) fn answer_reads(&mut self) {
        while let Some((query, reply)) = self.reads.next(self.applied) {
            let body = self.answer(query);
            reply.send(Body::QueryReply(QueryReply { body }));
        }
    }

    fn answer(&self, query: Query) -> Option<Answer> {
        Some(match query.body? {
            Question::Status(_) => {
                let status = self.status(Instant::now());
                Answer::Json(status.to_string().into())
            }
            Question::Quarantine(_) => Answer::Quarantine(self.machine.quarantine_message()),
            Question::Record(q) => {
                let record = self.machine.record(&q.account, &q.key);
                Answer::Record(record.unwrap_or_default())
            }
            Question::Map(q) => Answer::Map(self.machine.map(&q.group)),
            Question::Note(q) if q.number == 0 => {
                Answer::Json(self.machine.history().catalogue().to_json().into())
            }
            Question::Note(q) => {
                let content = self.machine.history().content(q.number);
                Answer::Json(content.cloned().unwrap_or_default())
            }
        })
    }
}
