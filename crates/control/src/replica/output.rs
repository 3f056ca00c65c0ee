//! Carries out what the replicated log wants done.

use super::State;
use super::backlog::Backlog;
use crate::clock::Clock;
use crate::codec;
use crate::disk::{Fullness, Job};
use crate::machine::Machine;
use crate::replicas::Replicas;
use crate::roster::Roster;
use prometheus_client::metrics::gauge::Gauge;
use prost::Message as _;
use quorum::{Entry, EntryBody, Ready, Snapshot, Status, Write};
use std::time::Instant;
use store::Batch;
use wire::proto::frame::Body;
use wire::proto::note_outcome::Kind;
use wire::proto::{Command, Notes, Outcome, Renewed, outcome};

impl State {
    /// Does what is wanted until nothing more is.
    pub(super) fn pump(&mut self, now: Instant) {
        self.node.start_read_round(now);
        loop {
            let ready = self.node.ready();
            if ready.is_empty() || self.failed.is_some() {
                break;
            }
            self.carry_out(ready);
        }
        self.follow_leadership(now);
        self.publish();
        self.answer_reads();
        self.begin_snapshot();
    }

    fn carry_out(&mut self, ready: Ready) {
        if let Some(write) = ready.write {
            self.write(&write);
        }
        for message in ready.messages {
            self.peers.send(message);
        }
        if let Some(snapshot) = ready.restore {
            self.restore(snapshot);
        }
        for entry in ready.committed {
            self.apply(entry);
        }
        for (token, index) in ready.confirmed_reads {
            self.reads.confirm(token, index);
        }
        for token in ready.refused_reads {
            if let Some(reply) = self.reads.refused(token) {
                reply.send(self.not_leader());
            }
        }
    }

    fn write(&mut self, write: &Write) {
        let batch = Batch {
            snapshot: write.snapshot.as_ref().map(codec::stored_snapshot),
            hard_state: codec::stored_hard_state(write.hard_state),
            records: write.entries.iter().map(codec::record).collect(),
        };
        if self.jobs.send(Job::Write(write.number, batch)).is_err() {
            let gone = "the disk thread has ended".to_owned();
            self.failed.get_or_insert(gone);
        }
    }

    fn restore(&mut self, snapshot: Snapshot) {
        match Machine::from_bytes(snapshot.data) {
            Ok(machine) => {
                self.machine = machine;
                self.applied = snapshot.index;
            }
            Err(e) => self.failed = Some(format!("snapshot {}: {e}", snapshot.index)),
        }
    }

    fn apply(&mut self, entry: Entry) {
        self.applied = entry.index;
        let body = match entry.body {
            EntryBody::Command(data) => Some(self.apply_command(data)),
            EntryBody::Noop | EntryBody::Members(_) => None,
        };
        let reply = self.commands.applied(entry.index, entry.term);
        if let (Some(reply), Some(body)) = (reply, body) {
            let index = entry.index;
            let body = Some(body);
            reply.send(Body::Outcome(Outcome { index, body }));
        }
    }

    fn apply_command(&mut self, data: bytes::Bytes) -> outcome::Body {
        // What can't be decoded becomes an empty command on every replica.
        let command = Command::decode(data).unwrap_or_default();
        let quarantine = self.machine.quarantine().version();
        let body = self.machine.apply(command);
        self.metrics.commands.inc();
        if self.machine.quarantine().version() != quarantine {
            self.tell_nodes(&Body::Renewed(Renewed::default()));
        }
        match &body {
            outcome::Body::Note(note) if note.kind() == Kind::Accepted => {
                let number = self.machine.history().catalogue().number();
                let hint = Notes {
                    number,
                    ..Notes::default()
                };
                self.tell_nodes(&Body::Notes(hint));
            }
            outcome::Body::Drain(_) => {
                if let Some(roster) = &mut self.roster {
                    roster.drained();
                }
                self.tell_nodes(&Body::Renewed(Renewed::default()));
            }
            _ => {}
        }
        body
    }

    /// Tells those who follow the route table and the replicas of changes.
    fn publish(&mut self) {
        let table = self.machine.route_table();
        self.table.send_if_modified(|published| {
            let news = published.number < table.number;
            if news {
                log::info!(table = table.number; "route table in force here");
                published.clone_from(table);
            }
            news
        });
        if self.published != *self.node.members() {
            self.published.clone_from(self.node.members());
            self.replicas.send_replace(Replicas::of(&self.published));
        }
    }

    /// Hints at a change, so that nodes renew their lease at once and learn
    /// of it. A node that misses the hint learns of it at the next renewal.
    fn tell_nodes(&mut self, hint: &Body) {
        self.nodes.retain(|link| !link.is_closed());
        for link in &self.nodes {
            let (link, hint) = (link.clone(), hint.clone());
            tokio::spawn(async move {
                if let Err(e) = link.send(hint).await {
                    log::debug!("hint to {} is lost: {e}", link.peer().name);
                }
            });
        }
    }

    /// Begins and ends what only a leader does.
    fn follow_leadership(&mut self, now: Instant) {
        let term = self.node.term();
        if !self.node.is_leader() {
            self.clock = None;
            self.backlog = None;
            if self.roster.take().is_some() {
                log::info!("no longer the leader, term is {term}");
                self.commands.give_up("the leader was replaced");
            }
            return;
        }
        if self.roster.as_ref().is_none_or(|r| r.term() != term) {
            log::info!("leader of term {term}");
            self.commands.give_up("the leader was replaced");
            let length = self.settings.timing.lease;
            self.roster = Some(Roster::new(term, length, now));
            let last = self.node.status(now).last_index;
            self.backlog = Some(Backlog::new(last, self.settings.timing.lag, now));
            self.clock = None;
        }
        if self.clock.is_none() && self.node.has_applied_in_term() {
            self.clock = Some(Clock::new(self.machine.now_ms(), now));
        }
    }

    /// Brings the gauges up to date.
    pub(super) fn measure(&self, status: &Status, now: Instant) {
        let nodes = self.roster.as_ref().map_or(0, |r| r.members().count());
        let metrics = &self.metrics;
        set(&metrics.has_leader, u64::from(status.leader.is_some()));
        set(&metrics.leads, u64::from(self.node.has_lease(now)));
        set(&metrics.term, status.term);
        set(&metrics.applied, self.applied);
        set(&metrics.committed, status.commit_index);
        set(&metrics.note, self.machine.history().catalogue().number());
        set(
            &metrics.disk_full,
            u64::from(self.fullness == Fullness::Full),
        );
        set(&metrics.ledger_records, self.machine.ledger().len() as u64);
        set(&metrics.ledger_bytes, self.machine.ledger().bytes() as u64);
        let unproved = self.machine.ledger().unproved_len();
        set(&metrics.ledger_unproved, unproved as u64);
        set(&metrics.nodes, nodes as u64);
    }

    fn begin_snapshot(&mut self) {
        let since = self.applied - self.node.snapshot().index.min(self.applied);
        if since < self.settings.snapshot_entries || self.saving.is_some() {
            return;
        }
        let (index, term) = self.node.last_applied();
        let snapshot = Snapshot {
            index,
            term,
            members: self.node.members_at(index),
            data: self.machine.to_bytes(),
        };
        let job = Job::Save(codec::stored_snapshot(&snapshot));
        if self.jobs.send(job).is_ok() {
            self.saving = Some(snapshot);
        }
    }
}

fn set(gauge: &Gauge, value: u64) {
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}
