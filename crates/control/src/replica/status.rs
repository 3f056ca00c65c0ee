//! Status of a replica, for operators.

use super::ReplicaState;
use super::lag_tracker::LagTracker;
use crate::disk::Fullness;
use crate::node_leases::NodeLeases;
use member::{Capability, Member, Serves};
use quorum::{ReplicaStatus, Status};
use serde_json::{Value, json};
use std::time::Instant;

/// State of a repair that is complete.
const COMPLETE: &str = "complete";
/// Fields of the status that only the leader knows.
const LEADER_FIELDS: [&str; 5] = ["replicas", "repair", "tolerated_losses", "nodes", "targets"];
/// Fields of `notes` in the status that only the leader knows.
const LEADER_NOTE_FIELDS: [&str; 2] = ["in_force_everywhere", "lagging"];

/// Adds the fields that only the leader knows to the status of another replica.
pub(crate) fn add_leader_fields(own: &mut Value, leader_status: &[u8]) {
    let Ok(mut leader_status) = serde_json::from_slice::<Value>(leader_status) else {
        return;
    };
    for field in LEADER_FIELDS {
        own[field] = leader_status[field].take();
    }
    for field in LEADER_NOTE_FIELDS {
        own["notes"][field] = leader_status["notes"][field].take();
    }
}

impl ReplicaState {
    /// Returns the status of this replica, as a JSON document for operators.
    pub(super) fn status(&self, now: Instant) -> Value {
        let status = self.node.status(now);
        let leader = status.leader.and_then(|id| self.node.members().peer(id));
        json!({
            "replica": self.settings.name,
            "zone": self.settings.zone,
            "disk": status.id.to_string(),
            "disk_full": self.fullness == Fullness::Full,
            "leader": leader.map(|peer| &peer.name),
            "leads": self.node.is_leader(),
            "leased": self.node.has_lease(now),
            "term": status.term,
            "waits_for": self.waits_for(now),
            "commit": status.commit_index,
            "applied": self.applied,
            "last": status.last_index,
            "snapshot": self.node.snapshot().index,
            "replicas": self.replicas(&status),
            "repair": self.repair(&status),
            "tolerated_losses": self.tolerated_losses(&status),
            "notes": self.notes(now),
            "nodes": self.nodes(),
            "targets": self.targets(),
            "groups": self.groups(),
            "route_table": self.table.borrow().to_json(),
            "quarantine": self.quarantine(),
            "drained": self.state_machine.withdrawn().targets,
            "evacuated": self.state_machine.withdrawn().zones,
            "ledger": {
                "records": self.state_machine.ledger().len(),
                "bytes": self.state_machine.ledger().bytes(),
                "unproved": self.state_machine.ledger().unproved_len(),
                "most_unproved": self.state_machine.ledger().limits().max_unproved,
                "time_ms": self.state_machine.now_ms(),
            },
        })
    }

    /// Returns the state of the repair of the whole cluster; only the leader knows it.
    pub(super) fn repair(&self, status: &Status) -> Value {
        if !self.node.has_committed_in_term() {
            return json!("unknown");
        }
        if !status.membership_committed {
            return json!("a change of the members is under way");
        }
        let rows = status.replicas.iter();
        let repairs = rows.map(|row| (row, self.repair_of(row, status)));
        let mut waiting = repairs.filter(|(_, repair)| *repair != COMPLETE);
        match waiting.next() {
            None => json!(COMPLETE),
            Some((row, repair)) => json!(format!("{}: {repair}", row.peer.name)),
        }
    }

    /// Returns the state of the repair of one replica.
    ///
    /// A broken link shows a loss at once, whereas missing answers show it only after an
    /// election timeout. Without checking the link, a replica that comes back on a blank
    /// disk sooner than that would be taken for one that was never lost.
    fn repair_of(&self, row: &ReplicaStatus, status: &Status) -> &'static str {
        let Some(matched) = row.match_index else {
            return "unknown";
        };
        let connected = row.id == status.id || self.peers.is_connected(row.id);
        let required = self
            .lag_tracker
            .as_ref()
            .map_or(status.commit_index, LagTracker::required_index);
        let is_current = matched >= required && row.informed;
        match (row.active && connected, row.voter, is_current) {
            (false, ..) => "silent",
            (true, false, false) => "catching up",
            (true, false, true) => "to be made a voter",
            (true, true, false) => "behind",
            (true, true, true) => COMPLETE,
        }
    }

    /// Returns how many more disks may be lost at once without losing an accepted
    /// change; only the leader knows it.
    pub(super) fn tolerated_losses(&self, status: &Status) -> Option<usize> {
        if !self.node.has_committed_in_term() {
            return None;
        }
        let complete = |row: &&ReplicaStatus| row.voter && self.repair_of(row, status) == COMPLETE;
        let complete = status.replicas.iter().filter(complete).count();
        Some(complete.saturating_sub(self.node.members().majority()))
    }

    fn replicas(&self, status: &Status) -> Vec<Value> {
        let row = |row: &ReplicaStatus| {
            json!({
                "name": row.peer.name,
                "address": row.peer.address,
                "disk": row.id.to_string(),
                "state": if row.voter { "voter" } else { "learner" },
                "match": row.match_index,
                "active": row.active,
                "repair": self.repair_of(row, status),
            })
        };
        status.replicas.iter().map(row).collect()
    }

    fn notes(&self, now: Instant) -> Value {
        let accepted = self.state_machine.history().catalogue().number();
        let progress = self.node_leases.as_ref().map(|r| r.progress(accepted, now));
        let progress = progress.unwrap_or_default();
        json!({
            "accepted": accepted,
            "in_force_everywhere": progress.everywhere,
            "lagging": progress.lagging,
        })
    }

    fn nodes(&self) -> Vec<Value> {
        let members = self.node_leases.iter().flat_map(NodeLeases::members);
        let row = |member: &Member| {
            let node = &member.node;
            json!({
                "name": node.key.name,
                "role": match node.key.role {
                    member::Role::Entry => "entry",
                    member::Role::Agent => "agent",
                },
                "zone": node.zone,
                "incarnation": format!("{:016x}", node.incarnation),
                "note": member.note,
                "leaving": node.leaving,
                "link_address": node.link_address,
                "caller_address": node.caller_address,
            })
        };
        members.map(row).collect()
    }

    fn targets(&self) -> Vec<Value> {
        let catalogue = self.state_machine.history().catalogue();
        let withdrawn = self.state_machine.withdrawn();
        let mut rows = Vec::new();
        for member in self.node_leases.iter().flat_map(NodeLeases::members) {
            let Some(target) = &member.node.announcement else {
                continue;
            };
            let (group, service) = match &target.serves {
                Serves::Group(name) => (Some(name), None),
                Serves::Service(name) => (None, Some(name)),
            };
            let name = &target.target;
            rows.push(json!({
                "target": name,
                "group": group,
                "service": service,
                "zone": member.node.zone,
                "healthy": target.healthy,
                "leaving": member.node.leaving,
                "draining": withdrawn.contains_target_of(&member.node),
                "offered": catalogue.target(name).is_some(),
                "checks_fencing": target.capabilities.contains(&Capability::ChecksFencing),
            }));
        }
        rows
    }

    fn groups(&self) -> Vec<Value> {
        let mut rows = Vec::new();
        for (group, state) in self.state_machine.decisions().groups() {
            let current = state.current.as_ref();
            rows.push(json!({
                "group": group,
                "fencing": state.fencing,
                "coordinator": state.agent,
                "version": current.map(|d| d.version),
                "barrier_step": current.map(|d| d.barrier_step),
                "committed": current.map(|d| d.verdict == expert::Verdict::Commit),
            }));
        }
        rows
    }

    fn quarantine(&self) -> Value {
        let quarantine = self.state_machine.quarantine();
        let tally = self.state_machine.crash_tally();
        let suspects = quarantine.suspects().chain(tally.suspects());
        let suspects: Vec<String> = suspects.map(ToString::to_string).collect();
        let convicted = quarantine.convicted().chain(tally.convicted());
        let convicted: Vec<String> = convicted.map(ToString::to_string).collect();
        json!({ "suspects": suspects, "convicted": convicted })
    }
}
