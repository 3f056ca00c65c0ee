//! What a replica tells operators.

use super::State;
use super::backlog::Backlog;
use crate::disk::Fullness;
use crate::roster::Roster;
use member::{Capability, Member, Serves};
use quorum::{ReplicaStatus, Status};
use serde_json::{Value, json};
use std::time::Instant;

/// Nothing is left of a repair.
const COMPLETE: &str = "complete";
/// Parts of the status that only a leader knows.
const LEADERS_PARTS: [&str; 4] = ["replicas", "repair", "nodes", "targets"];
/// The same within the part on notes.
const LEADERS_NOTES: [&str; 2] = ["in_force_everywhere", "lagging"];

/// Adds what only the leader knows to the status of another replica.
pub(crate) fn add_leaders_part(own: &mut Value, leaders: &[u8]) {
    let Ok(mut leaders) = serde_json::from_slice::<Value>(leaders) else {
        return;
    };
    for part in LEADERS_PARTS {
        own[part] = leaders[part].take();
    }
    for part in LEADERS_NOTES {
        own["notes"][part] = leaders["notes"][part].take();
    }
}

impl State {
    /// What stands here, as a JSON document for operators.
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
            "commit": status.commit_index,
            "applied": self.applied,
            "last": status.last_index,
            "snapshot": self.node.snapshot().index,
            "replicas": self.replicas(&status),
            "repair": self.repair(&status),
            "notes": self.notes(now),
            "nodes": self.nodes(),
            "targets": self.targets(),
            "groups": self.groups(),
            "quarantine": self.quarantine(),
            "drained": self.machine.drained(),
            "ledger": {
                "records": self.machine.ledger().len(),
                "bytes": self.machine.ledger().bytes(),
                "unproved": self.machine.ledger().unproved_len(),
                "most_unproved": self.machine.ledger().limits().max_unproved,
                "time_ms": self.machine.now_ms(),
            },
        })
    }

    /// What is left of a repair; only the leader knows.
    fn repair(&self, status: &Status) -> Value {
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

    /// What is left of the repair of one replica.
    ///
    /// A link that breaks tells of a loss at once, the silence only after an
    /// election timeout; a disk that comes back blank sooner than that would
    /// be taken for one that never went.
    fn repair_of(&self, row: &ReplicaStatus, status: &Status) -> &'static str {
        let Some(matched) = row.match_index else {
            return "unknown";
        };
        let linked = row.id == status.id || self.peers.is_up(row.id);
        let due = self
            .backlog
            .as_ref()
            .map_or(status.commit_index, Backlog::due);
        match (row.active && linked, row.voter, matched >= due) {
            (false, ..) => "silent",
            (true, false, false) => "catching up",
            (true, false, true) => "to be made a voter",
            (true, true, false) => "behind",
            (true, true, true) => COMPLETE,
        }
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
        let accepted = self.machine.history().catalogue().number();
        let progress = self.roster.as_ref().map(|r| r.progress(accepted, now));
        let progress = progress.unwrap_or_default();
        json!({
            "accepted": accepted,
            "in_force_everywhere": progress.everywhere,
            "lagging": progress.lagging,
        })
    }

    fn nodes(&self) -> Vec<Value> {
        let members = self.roster.iter().flat_map(Roster::members);
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
        let catalogue = self.machine.history().catalogue();
        let drained = self.machine.drained();
        let mut rows = Vec::new();
        for member in self.roster.iter().flat_map(Roster::members) {
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
                "draining": drained.contains(name),
                "offered": catalogue.target(name).is_some(),
                "checks_fencing": target.capabilities.contains(&Capability::ChecksFencing),
            }));
        }
        rows
    }

    fn groups(&self) -> Vec<Value> {
        let mut rows = Vec::new();
        for (group, standing) in self.machine.decisions().groups() {
            let current = standing.current.as_ref();
            rows.push(json!({
                "group": group,
                "fencing": standing.fencing,
                "coordinator": standing.agent,
                "version": current.map(|d| d.version),
                "barrier_step": current.map(|d| d.barrier_step),
                "committed": current.map(|d| d.verdict == expert::Verdict::Commit),
            }));
        }
        rows
    }

    fn quarantine(&self) -> Value {
        let quarantine = self.machine.quarantine();
        let suspects: Vec<String> = quarantine.suspects().map(ToString::to_string).collect();
        let convicted: Vec<String> = quarantine.convicted().map(ToString::to_string).collect();
        json!({ "suspects": suspects, "convicted": convicted })
    }
}
