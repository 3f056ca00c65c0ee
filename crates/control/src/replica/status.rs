//! What a replica tells operators.

use super::State;
use crate::disk::Fullness;
use quorum::ReplicaStatus;
use serde_json::{Value, json};
use std::time::Instant;
use wire::Role;
use wire::proto::NodeInfo;

impl State {
    /// What stands here, as a JSON document for operators.
    pub(super) fn status(&self, now: Instant) -> Value {
        let status = self.node.status(now);
        let members = self.node.members();
        let leader = status.leader.and_then(|id| members.peer(id));
        let replicas: Vec<Value> = status
            .replicas
            .iter()
            .map(|row| replica(row, status.commit))
            .collect();
        let repaired = status.settled
            && status
                .replicas
                .iter()
                .all(|row| row.voter && row.active && row.matched >= Some(status.commit));
        json!({
            "replica": self.settings.name,
            "zone": self.settings.zone,
            "disk": status.id.to_string(),
            "disk_full": self.fullness == Fullness::Full,
            "leader": leader.map(|peer| &peer.name),
            "leads": self.node.is_leader(),
            "leased": self.node.leased(now),
            "term": status.term,
            "commit": status.commit,
            "applied": self.applied,
            "last": status.last,
            "snapshot": self.node.snapshot().index,
            "replicas": replicas,
            "repair_complete": self.node.is_leader().then_some(repaired),
            "notes": self.notes(),
            "nodes": self.node_rows(),
            "targets": self.target_rows(),
            "maps": self.map_rows(),
            "quarantine": {
                "suspects": self.machine.quarantine().suspects().map(ToString::to_string).collect::<Vec<_>>(),
                "convicted": self.machine.quarantine().convicted().map(ToString::to_string).collect::<Vec<_>>(),
            },
            "drained": self.machine.drained(),
            "ledger": {
                "records": self.machine.ledger().len(),
                "bytes": self.machine.ledger().bytes(),
            },
        })
    }

    fn notes(&self) -> Value {
        let accepted = self.machine.history().catalogue().number();
        let leases = self.leases.as_ref();
        let in_force = leases.and_then(|leases| leases.in_force(accepted));
        json!({ "accepted": accepted, "in_force_everywhere": in_force })
    }

    fn node_rows(&self) -> Vec<Value> {
        let Some(leases) = &self.leases else {
            return Vec::new();
        };
        let row = |(info, note): (&NodeInfo, u64)| {
            json!({
                "name": info.name,
                "role": role_name(info.role()),
                "zone": info.zone,
                "incarnation": format!("{:016x}", info.incarnation),
                "note": note,
                "leaving": info.leaving,
                "link_address": info.link_address,
                "caller_address": info.caller_address,
            })
        };
        leases.nodes().map(row).collect()
    }

    fn target_rows(&self) -> Vec<Value> {
        let Some(leases) = &self.leases else {
            return Vec::new();
        };
        let view = leases.view(self.machine.drained());
        let catalogue = self.machine.history().catalogue();
        let mut rows = Vec::new();
        for info in &view.nodes {
            let Some(target) = &info.target else { continue };
            rows.push(json!({
                "target": target.target,
                "group": target.group,
                "service": target.service,
                "zone": info.zone,
                "healthy": target.healthy,
                "leaving": info.leaving,
                "offered": catalogue.target(&target.target).is_some(),
                "checks_fencing": target.checks_fencing,
            }));
        }
        rows
    }

    fn map_rows(&self) -> Vec<Value> {
        let mut rows = Vec::new();
        for (group, standing) in self.machine.decisions().groups() {
            let current = standing.current.as_ref();
            rows.push(json!({
                "group": group,
                "fencing": standing.fencing,
                "coordinator": standing.agent,
                "version": current.map(|d| d.version),
                "barrier_step": current.map(|d| d.barrier_step),
            }));
        }
        rows
    }
}

fn replica(row: &ReplicaStatus, commit: u64) -> Value {
    let caught_up = row.matched.map(|matched| matched >= commit);
    let repair = match (row.voter, caught_up) {
        (_, None) => "unknown",
        (false, Some(false)) => "catching up",
        (false, Some(true)) => "to be made a voter",
        (true, Some(false)) => "behind",
        (true, Some(true)) => "complete",
    };
    json!({
        "name": row.peer.name,
        "address": row.peer.address,
        "disk": row.id.to_string(),
        "voter": row.voter,
        "matched": row.matched,
        "active": row.active,
        "repair": repair,
    })
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Entry => "entry",
        Role::Control => "control",
        Role::Agent => "agent",
        Role::Unspecified => "unspecified",
    }
}
