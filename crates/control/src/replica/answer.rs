//! What nodes ask for.

use super::State;
use super::granting::Granting;
use crate::disk::Fullness;
use crate::reply::{Commit, Reply, unavailable, unavailable_for_long};
use crate::roster::Roster;
use prost::Message as _;
use std::time::Instant;
use wire::proto::frame::Body;
use wire::proto::query::Body as Question;
use wire::proto::query_reply::Body as Answer;
use wire::proto::{
    Command, FetchNotes, LedgerLimits, NotLeader, Query, QueryReply, Renew, RenewBatch, Renewed,
    RenewedBatch, command,
};

/// Longest command, so that one doesn't hold up the log for all.
const MOST_COMMAND_BYTES: usize = 4 << 20;
/// What is answered to commands while a write of the leader waits for room.
pub(super) const DISK_FULL: &str = "the disk of the leader is full";

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
        let surely = self.node.has_lease(now) && self.node.has_applied_in_term();
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
            Err(answer) => {
                self.metrics.refused_commands.inc();
                reply.send(*answer);
            }
        }
    }

    /// Brings the bounds of the ledger to this leader's settings. They are
    /// part of the replicated state: were each replica to go by its own, a
    /// record would be gone on one and stand on another.
    pub(super) fn keep_ledger_limits(&mut self, now: Instant) {
        let wanted = self.settings.ledger;
        let Some(term) = self.roster.as_ref().map(Roster::term) else {
            return;
        };
        let known = self.node.has_lease(now) && self.node.has_applied_in_term();
        let limits = self.machine.ledger().limits();
        let in_force = LedgerLimits {
            keep_ms: limits.keep_ms,
            running_ms: limits.running_ms,
            max_unproved: limits.max_unproved as u64,
        };
        if !known || wanted == in_force || self.limits_ordered == Some(term) {
            return;
        }
        let body = Some(command::Body::LedgerLimits(wanted));
        match self.order(Command { now_ms: 0, body }, now) {
            Ok(_) => self.limits_ordered = Some(term),
            Err(e) => log::debug!("the ledger's limits can't be set now: {e:?}"),
        }
    }

    /// Whether as many replicas vote as are wanted.
    ///
    /// The founder of a cluster is its only voter at first, and could commit
    /// alone: what it acknowledged would be gone with its disk.
    fn is_complete(&self) -> bool {
        let wanted = self.settings.forming.as_ref().map_or(0, |f| f.voters);
        self.node.members().voters.len() >= wanted
    }

    /// Orders a command, or says why it never will be.
    fn order(&mut self, mut command: Command, now: Instant) -> Result<(u64, u64), Box<Body>> {
        let for_now = |reason: &str| Err(Box::new(unavailable(reason, Commit::Never)));
        let for_long = |reason: &str| Err(Box::new(unavailable_for_long(reason, Commit::Never)));
        if self.fullness == Fullness::Full {
            return for_long(DISK_FULL);
        }
        if self.commands.is_full() {
            return for_now("too many commands wait");
        }
        if !self.is_complete() {
            return for_now("the replicas have not all found each other yet");
        }
        // Before that this leader doesn't know all that was ordered, and when.
        let Some(clock) = self.clock.filter(|_| self.node.has_applied_in_term()) else {
            return for_now("the leader was elected just now");
        };
        command.now_ms = clock.now_ms(now);
        let data = command.encode_to_vec();
        if data.len() > MOST_COMMAND_BYTES {
            return for_long("the command is too long");
        }
        let ordered = self.node.propose(data.into(), now);
        ordered.or_else(|e| for_now(&e.to_string()))
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
            Question::Ledger(_) => Answer::Json(self.machine.unproved().to_string().into()),
            Question::Map(q) => Answer::Map(self.machine.map(&q.group)),
            Question::RouteTable(_) => Answer::RouteTable(self.machine.route_table().clone()),
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
