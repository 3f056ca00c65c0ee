//! Processing of the output of the replicated log.

use super::ReplicaState;
use super::lag_tracker::LagTracker;
use crate::clock::Clock;
use crate::codec;
use crate::disk::{Fullness, Job};
use crate::node_leases::NodeLeases;
use crate::published_table::PublishedTable;
use crate::replicas::Replicas;
use crate::state_machine::StateMachine;
use prometheus_client::metrics::gauge::Gauge;
use prost::Message as _;
use quorum::{Entry, EntryBody, Ready, Snapshot, Status, Write};
use std::time::Instant;
use store::Batch;
use wire::proto::frame::Body;
use wire::proto::note_outcome::Kind;
use wire::proto::{Command, Notes, Outcome, Renewed, outcome};

impl ReplicaState {
    /// Processes the output of the log until there is none left.
    pub(super) fn process_ready(&mut self, now: Instant) {
        self.node.start_read_round(now);
        self.handle_all_ready();
        self.update_leadership(now);
        if self.append_next_table(now) {
            self.handle_all_ready();
        }
        self.publish();
        self.answer_reads();
        self.start_snapshot();
    }

    fn handle_all_ready(&mut self) {
        loop {
            let ready = self.node.ready();
            if ready.is_empty() || self.failed.is_some() {
                return;
            }
            self.handle_ready(ready);
        }
    }

    fn handle_ready(&mut self, ready: Ready) {
        if let Some(write) = ready.write {
            self.write(&write);
        }
        for message in ready.messages {
            self.peers.send(message, self.node.members());
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
            if let Some(reply) = self.reads.remove_unconfirmed(token) {
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
        let job = if write.commit_only {
            Job::WriteIfRoom(batch)
        } else {
            Job::Write(write.number, batch)
        };
        if self.disk_jobs.send(job).is_err() {
            let reason = "the disk thread has ended".to_owned();
            self.failed.get_or_insert(reason);
        }
    }

    fn restore(&mut self, snapshot: Snapshot) {
        match StateMachine::from_bytes(snapshot.data) {
            Ok(machine) => {
                self.state_machine = machine;
                self.applied = snapshot.index;
            }
            Err(e) => self.failed = Some(format!("snapshot {}: {e}", snapshot.index)),
        }
    }

    fn apply(&mut self, entry: Entry) {
        self.applied = entry.index;
        let body = match entry.body {
            EntryBody::Command(data) => {
                self.unsaved_bytes += data.len() as u64;
                Some(self.apply_command(data))
            }
            EntryBody::Noop | EntryBody::Members(_) => None,
        };
        let replies = self.commands.take_applied(entry.index, entry.term);
        if let Some(body) = body {
            let index = entry.index;
            let body = Some(body);
            let answer = Body::Outcome(Outcome { index, body });
            for reply in replies {
                reply.send(answer.clone());
            }
        }
    }

    fn apply_command(&mut self, data: bytes::Bytes) -> outcome::Body {
        // Bytes that cannot be decoded are applied as an empty command, on every replica
        // alike.
        let command = Command::decode(data).unwrap_or_default();
        let quarantine = self.state_machine.quarantine_version();
        let body = self.state_machine.apply(command);
        self.metrics.commands.inc();
        if self.state_machine.quarantine_version() != quarantine {
            self.notify_nodes(&Body::Renewed(Renewed::default()));
        }
        match &body {
            outcome::Body::Note(note) if note.kind() == Kind::Accepted => {
                let number = self.state_machine.history().catalogue().number();
                let hint = Notes {
                    number,
                    ..Notes::default()
                };
                self.notify_nodes(&Body::Notes(hint));
            }
            outcome::Body::Drain(_) | outcome::Body::Evacuation(_) => {
                if let Some(node_leases) = &mut self.node_leases {
                    node_leases.withdrawn_targets_changed();
                }
                self.notify_nodes(&Body::Renewed(Renewed::default()));
            }
            _ => {}
        }
        body
    }

    /// Publishes changes of the route table, of the evacuated zones and of the members.
    ///
    /// Entries keep what they are sent until its number rises, so only committed state may
    /// be published. After a restart that is what the disk records as committed.
    fn publish(&mut self) {
        let table = self.state_machine.route_table();
        self.table.send_if_modified(|published| {
            let is_newer = published.table.number < table.number;
            if is_newer {
                *published = PublishedTable::new(table);
                let digest = published.digest();
                log::info!(
                    table = table.number, bytes = table.source.len(), digest = digest.as_str();
                    "route table in force on this replica"
                );
                self.metrics.set_route_table(table.number, digest);
            }
            is_newer
        });
        let evacuations = self.state_machine.evacuations();
        self.evacuations.send_if_modified(|published| {
            let is_newer = published.number < evacuations.number;
            if is_newer {
                log::info!(
                    number = evacuations.number;
                    "evacuated availability zones: {:?}", evacuations.zones
                );
                *published = evacuations;
            }
            is_newer
        });
        let verdicts = self.state_machine.crash_tally().version();
        if self.quarantine.borrow().version != verdicts {
            let verdicts = self.state_machine.crash_tally_message();
            log::info!(
                version = verdicts.version, suspects = verdicts.suspects.len(),
                convicted = verdicts.convicted.len();
                "verdicts on requests under which targets crash have changed"
            );
            self.quarantine.send_replace(verdicts);
        }
        if self.published_members != *self.node.members() {
            self.published_members.clone_from(self.node.members());
            self.replicas
                .send_replace(Replicas::from_members(&self.published_members));
        }
    }

    /// Sends nodes a hint that something has changed, so that they renew their lease at
    /// once and learn of it. A node that misses the hint learns of it at its next renewal.
    fn notify_nodes(&mut self, hint: &Body) {
        self.nodes.retain(|link| !link.is_closed());
        for link in &self.nodes {
            let (link, hint) = (link.clone(), hint.clone());
            tokio::spawn(async move {
                if let Err(e) = link.send(hint).await {
                    log::debug!("cannot send a hint to {}: {e}", link.peer().name);
                }
            });
        }
    }

    /// Creates or drops the state that only a leader holds.
    fn update_leadership(&mut self, now: Instant) {
        let term = self.node.term();
        if !self.node.is_leader() {
            self.clock = None;
            self.lag_tracker = None;
            if self.node_leases.take().is_some() {
                log::info!("no longer the leader, term is {term}");
                self.fail_commands("the leader was replaced");
            }
            return;
        }
        if self.node_leases.as_ref().is_none_or(|r| r.term() != term) {
            log::info!("leader of term {term}");
            self.fail_commands("the leader was replaced");
            let length = self.settings.timing.lease_duration;
            let max = self.settings.timing.max_lease_duration;
            self.node_leases = Some(NodeLeases::new(term, length, now).with_max_lease(max, now));
            let last = self.node.status(now).last_index;
            self.lag_tracker = Some(LagTracker::new(last, self.settings.timing.max_lag, now));
            self.last_evacuation = 0;
            self.clock = None;
        }
        if self.clock.is_none() && self.node.has_applied_in_term() {
            self.clock = Some(Clock::new(self.state_machine.now_ms(), now));
        }
    }

    /// Updates the gauges.
    pub(super) fn update_metrics(&self, status: &Status, now: Instant) {
        let nodes = self.node_leases.as_ref().map_or(0, |r| r.members().count());
        let metrics = &self.metrics;
        set(&metrics.has_leader, u64::from(status.leader.is_some()));
        set(&metrics.leads, u64::from(self.node.has_lease(now)));
        set(&metrics.term, status.term);
        set(&metrics.forming, u64::from(self.waits_for(now).is_some()));
        set(&metrics.applied, self.applied);
        set(&metrics.committed, status.commit_index);
        set(
            &metrics.note,
            self.state_machine.history().catalogue().number(),
        );
        set(
            &metrics.disk_full,
            u64::from(self.fullness == Fullness::Full),
        );
        set(
            &metrics.ledger_records,
            self.state_machine.ledger().len() as u64,
        );
        set(
            &metrics.ledger_bytes,
            self.state_machine.ledger().bytes() as u64,
        );
        let unproved = self.state_machine.ledger().unproved_len();
        set(&metrics.ledger_unproved, unproved as u64);
        set(&metrics.nodes, nodes as u64);
        let evacuated = self.state_machine.withdrawn().zones.len();
        set(&metrics.evacuated_zones, evacuated as u64);
    }

    /// Publishes how many more lost disks the log tolerates, and logs a change.
    pub(super) fn report_tolerated_losses(&mut self, status: &Status) {
        let tolerated = self.tolerated_losses(status);
        let gauge = tolerated.map_or(-1, |losses| i64::try_from(losses).unwrap_or(i64::MAX));
        if self.metrics.tolerated_losses.set(gauge) == gauge {
            return;
        }
        let Some(losses) = tolerated else { return };
        let voters = self.node.members().voters.len();
        let repair = self.repair(status);
        if losses < voters.saturating_sub(1) / 2 {
            log::warn!(losses, voters; "the log tolerates {losses} more lost disks; {repair}");
        } else {
            log::info!(losses, voters; "the log tolerates {losses} lost disks again");
        }
    }

    fn start_snapshot(&mut self) {
        let entries = self.applied - self.node.snapshot().index.min(self.applied);
        // Entries may be as large as the state. Waiting for the size of the last snapshot
        // bounds what is written for each byte of the log.
        let last_snapshot_bytes = self.node.snapshot().data.len() as u64;
        let is_due = entries >= self.settings.snapshot_entries
            || self.unsaved_bytes >= self.settings.snapshot_bytes.max(last_snapshot_bytes);
        if entries == 0 || !is_due || self.saving.is_some() {
            return;
        }
        let (index, term) = self.node.last_applied();
        let snapshot = Snapshot {
            index,
            term,
            members: self.node.members_at(index),
            data: self.state_machine.to_bytes(),
        };
        let job = Job::Save(codec::stored_snapshot(&snapshot));
        if self.disk_jobs.send(job).is_ok() {
            self.saving = Some(snapshot);
            self.unsaved_bytes = 0;
        }
    }
}

fn set(gauge: &Gauge, value: u64) {
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}
