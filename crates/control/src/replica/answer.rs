//! Handling of requests.

use super::ReplicaState;
use super::pending::MAX_PENDING_COMMANDS;
use super::renewal_context::RenewalContext;
use super::table_queue::TableAction;
use crate::clock::Clock;
use crate::disk::Fullness;
use crate::node_leases::NodeLeases;
use crate::reply::{MayCommit, Reply, unavailable, unavailable_lasting};
use prost::Message as _;
use serde_json::json;
use std::time::Instant;
use wire::proto::frame::Body;
use wire::proto::query::Body as Question;
use wire::proto::query_reply::Body as Answer;
use wire::proto::{
    Command, Evacuate, EvacuationOutcome, Evacuations, FetchNotes, LedgerLimits, NotLeader,
    Outcome, Query, QueryReply, Renew, RenewBatch, Renewed, RenewedBatch, RouteTable,
    RouteTableQuery, command, outcome,
};

/// Maximum size of a command, so that a single one cannot block the log.
const MAX_COMMAND_BYTES: usize = 4 << 20;
/// Answer to commands while a write of the leader is waiting for disk space.
pub(super) const DISK_FULL: &str = "the disk of the leader is full";

impl ReplicaState {
    /// Returns the answer that redirects a request to the leader.
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

    /// Renews the lease of one node; see [`ReplicaState::renew_all`].
    pub(super) fn renew(&mut self, renew: Renew, reply: Reply, now: Instant) {
        let batch = RenewBatch {
            renewals: vec![renew],
        };
        let Some(mut batch) = self.renew_all(batch, true, now) else {
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

    /// Renews the leases of several nodes whose requests one node has forwarded. Each
    /// request is granted or refused on its own.
    pub(super) fn renew_batch(&mut self, batch: RenewBatch, reply: Reply, now: Instant) {
        match self.renew_all(batch, false, now) {
            Some(renewed) => reply.send(Body::RenewedBatch(renewed)),
            None => reply.send(self.not_leader()),
        }
    }

    /// Renews leases if this replica holds the leader lease and has applied everything
    /// that earlier leaders acknowledged. Both are needed because a granted lease states
    /// that the release note it names is the newest.
    fn renew_all(
        &mut self,
        batch: RenewBatch,
        is_direct: bool,
        now: Instant,
    ) -> Option<RenewedBatch> {
        let is_current = self.node.has_lease(now) && self.node.has_applied_in_term();
        let node_leases = self.node_leases.as_mut().filter(|_| is_current)?;
        let quarantine = self.state_machine.quarantine_message();
        let context = RenewalContext {
            note: self.state_machine.history().catalogue().number(),
            withdrawn: self.state_machine.withdrawn(),
            quarantine_version: quarantine.version,
            replicas: &self.replicas.borrow(),
            is_direct,
        };
        let mut renewed = context.renew(node_leases, batch, now);
        self.metrics.renewal_messages.inc();
        self.metrics.renewals.inc_by(renewed.renewals.len() as u64);
        let is_needed = renewed.renewals.iter().any(|r| r.shared_quarantine);
        renewed.quarantine = is_needed.then_some(quarantine);
        Some(renewed)
    }

    /// Any replica may answer, because everything that it has applied is committed.
    pub(super) fn fetch_notes(&self, fetch: FetchNotes, reply: Reply) {
        let newest = self.state_machine.history().catalogue().number();
        if newest <= fetch.after && !self.node.is_leader() {
            return reply.send(self.not_leader());
        }
        reply.send(Body::Notes(self.state_machine.notes_after(fetch.after)));
    }

    pub(super) fn propose(&mut self, command: Command, reply: Reply, now: Instant) {
        if !self.node.is_leader() {
            return reply.send(self.not_leader());
        }
        if let Some(command::Body::Evacuate(order)) = command.body {
            return self.propose_evacuation(order, reply, now);
        }
        if is_too_long(&command) {
            let answer = unavailable_lasting("the command is too long", MayCommit::No);
            return self.refuse([reply], &answer);
        }
        if let Some(command::Body::RouteTable(table)) = command.body {
            return self.propose_table(table, reply, now);
        }
        match self.append_command(command, now) {
            Ok(position) => self.commands.insert(position, vec![reply], now),
            Err(answer) => self.refuse([reply], &answer),
        }
    }

    /// Appends an evacuation order, unless the evacuations that it was given against have
    /// changed: it may have waited in the socket of a process that stood still, while
    /// another replica carried out the order and later ones.
    fn propose_evacuation(&mut self, order: Evacuate, reply: Reply, now: Instant) {
        if !self.settings.may_have_zone(&order.zone) {
            return reply.send(evacuation_outcome(EvacuationOutcome::default()));
        }
        let (zone, active, seen) = (order.zone.clone(), order.active, order.seen);
        let evacuations = self.state_machine.evacuations();
        let number = evacuations.number;
        if seen.is_some() {
            if self.last_evacuation > self.applied {
                let reason = "an earlier evacuation order is not committed yet";
                return self.refuse([reply], &unavailable(reason, MayCommit::No));
            }
            // A leader that does not accept commands yet may lack earlier orders.
            if self.accepting_clock().is_some() && self.state_machine.is_outdated(&order) {
                log::warn!(
                    zone = zone.as_str(), active, seen, number, proposer = reply.requester();
                    "evacuation order refused: the evacuations have changed since it was given"
                );
                self.metrics.outdated_orders.inc();
                return reply.send(evacuation_outcome(EvacuationOutcome {
                    known: true,
                    evacuations: Some(evacuations),
                    outdated: true,
                }));
            }
        }
        let body = Some(command::Body::Evacuate(order));
        match self.append_command(Command { now_ms: 0, body }, now) {
            Ok(position) => {
                log::info!(
                    zone = zone.as_str(), active, seen, number, proposer = reply.requester();
                    "evacuation order proposed"
                );
                self.last_evacuation = position.0;
                self.commands.insert(position, vec![reply], now);
            }
            Err(answer) => self.refuse([reply], &answer),
        }
    }

    fn propose_table(&mut self, table: RouteTable, reply: Reply, now: Instant) {
        if let Err(answer) = self.check_accepts() {
            return self.refuse([reply], &answer);
        }
        let appends = self.appends_tables(now);
        let in_force = appends.then(|| self.state_machine.route_table().number);
        let action = self.tables.add(table, reply, in_force, now);
        if let TableAction::Append(table, reply) = action {
            self.append_table(table, vec![reply], now);
        }
    }

    /// Appends the table that has waited until the one before it was applied, if there is
    /// one. Returns whether there was.
    pub(super) fn append_next_table(&mut self, now: Instant) -> bool {
        if !self.appends_tables(now) {
            return false;
        }
        let in_force = self.state_machine.route_table().number;
        let next = self.tables.take_next(self.applied, in_force);
        let is_some = next.is_some();
        if let Some((table, replies)) = next {
            self.append_table(table, replies, now);
        }
        is_some
    }

    fn appends_tables(&self, now: Instant) -> bool {
        self.node.has_lease(now) && self.accepting_clock().is_some()
    }

    fn append_table(&mut self, table: RouteTable, replies: Vec<Reply>, now: Instant) {
        let number = table.number;
        let body = Some(command::Body::RouteTable(table));
        match self.append_command(Command { now_ms: 0, body }, now) {
            Ok(position) => {
                if number > 0 {
                    self.tables.set_appended(number, position.0);
                }
                self.commands.insert(position, replies, now);
            }
            Err(answer) => self.refuse(replies, &answer),
        }
    }

    fn refuse(&mut self, replies: impl IntoIterator<Item = Reply>, answer: &Body) {
        for reply in replies {
            self.metrics.refused_commands.inc();
            reply.send(answer.clone());
        }
    }

    /// Answers all commands that wait because this replica no longer leads.
    pub(super) fn fail_commands(&mut self, reason: &str) {
        self.commands.fail_all(reason);
        self.tables.fail_all(reason);
    }

    /// Returns the clock of a leader that appends commands.
    ///
    /// Until a new leader has applied an entry of its own term, it may not have applied
    /// all earlier commands, and does not know the time of the last one.
    fn accepting_clock(&self) -> Option<Clock> {
        self.clock.filter(|_| self.node.has_applied_in_term())
    }

    /// Checks that this leader has room for another command.
    ///
    /// # Errors
    ///
    /// Returns the answer to send if it has not.
    fn check_accepts(&self) -> Result<(), Box<Body>> {
        if self.fullness == Fullness::Full {
            return Err(Box::new(unavailable_lasting(DISK_FULL, MayCommit::No)));
        }
        if self.commands.len() + self.tables.len() >= MAX_PENDING_COMMANDS {
            let reason = "too many commands wait";
            return Err(Box::new(unavailable(reason, MayCommit::No)));
        }
        Ok(())
    }

    /// Proposes the ledger limits of this leader's settings if others are in force. The
    /// limits are part of the replicated state: if each replica used its own, a record
    /// could be expired on one and still present on another.
    pub(super) fn propose_ledger_limits(&mut self, now: Instant) {
        let wanted = self.settings.ledger;
        let Some(term) = self.node_leases.as_ref().map(NodeLeases::term) else {
            return;
        };
        let is_current = self.node.has_lease(now) && self.node.has_applied_in_term();
        let limits = self.state_machine.ledger().limits();
        let in_force = LedgerLimits {
            keep_ms: limits.keep_ms,
            running_ms: limits.running_ms,
            max_unproved: limits.max_unproved as u64,
        };
        if !is_current || wanted == in_force || self.limits_proposed_in_term == Some(term) {
            return;
        }
        let body = Some(command::Body::LedgerLimits(wanted));
        match self.append_command(Command { now_ms: 0, body }, now) {
            Ok(_) => self.limits_proposed_in_term = Some(term),
            Err(e) => log::debug!("cannot propose the ledger limits now: {e:?}"),
        }
    }

    /// Appends a command to the log and returns its index and term.
    ///
    /// # Errors
    ///
    /// Returns the answer to send if the command is not appended; it will never be
    /// committed.
    fn append_command(
        &mut self,
        mut command: Command,
        now: Instant,
    ) -> Result<(u64, u64), Box<Body>> {
        let refuse = |reason: &str| Err(Box::new(unavailable(reason, MayCommit::No)));
        self.check_accepts()?;
        let Some(clock) = self.accepting_clock() else {
            return refuse("the leader was elected just now");
        };
        command.now_ms = clock.now_ms(now);
        let data = command.encode_to_vec();
        let proposed = self.node.propose(data.into(), now);
        proposed.or_else(|e| refuse(&e.to_string()))
    }

    pub(super) fn query(&mut self, query: Query, reply: Reply) {
        if let Some(Question::RouteTable(RouteTableQuery { any_replica: true })) = query.body {
            let table = self.state_machine.route_table().clone();
            let body = Some(Answer::RouteTable(table));
            return reply.send(Body::QueryReply(QueryReply { body }));
        }
        if !self.node.is_leader() || self.reads.is_full() {
            return reply.send(self.not_leader());
        }
        let token = self.reads.insert(query, reply);
        if self.node.read(token).is_err()
            && let Some(reply) = self.reads.remove_unconfirmed(token)
        {
            reply.send(self.not_leader());
        }
    }

    /// Answers the reads whose index the state machine has reached.
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
            Question::Quarantine(_) => Answer::Quarantine(self.state_machine.all_quarantined()),
            Question::Record(q) => {
                let record = self.state_machine.record(&q.account, &q.key);
                Answer::Record(record.unwrap_or_default())
            }
            Question::Evacuations(_) => {
                let Evacuations { number, zones } = self.state_machine.evacuations();
                let json = json!({ "number": number, "evacuated": zones });
                Answer::Json(json.to_string().into())
            }
            Question::Ledger(_) => Answer::Json(self.state_machine.unproved().to_string().into()),
            Question::Map(q) => Answer::Map(self.state_machine.map(&q.group)),
            Question::RouteTable(_) => Answer::RouteTable(self.state_machine.route_table().clone()),
            Question::Note(q) if q.number == 0 => {
                Answer::Json(self.state_machine.history().catalogue().to_json().into())
            }
            Question::Note(q) => {
                let content = self.state_machine.history().content(q.number);
                Answer::Json(content.cloned().unwrap_or_default())
            }
        })
    }
}

/// Whether a command is too long, whatever its time. It must not wait with others, as all that
/// wait share one answer.
fn is_too_long(command: &Command) -> bool {
    let latest = Command {
        now_ms: u64::MAX,
        ..command.clone()
    };
    latest.encoded_len() > MAX_COMMAND_BYTES
}

fn evacuation_outcome(outcome: EvacuationOutcome) -> Body {
    Body::Outcome(Outcome {
        index: 0,
        body: Some(outcome::Body::Evacuation(outcome)),
    })
}
