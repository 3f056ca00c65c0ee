//! Renewal of leases in batches.

use crate::node_leases::NodeLeases;
use crate::replicas::Replicas;
use crate::withdrawn::Withdrawn;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use wire::proto::{
    AccountPart, MemberView, NodeInfo, Renew, RenewBatch, Renewed, RenewedBatch, Role,
};

/// State of the leader on which it renews leases.
pub(super) struct RenewalContext<'a> {
    /// Number of the newest release note.
    pub(super) note: u64,
    /// Targets that operators have withdrawn.
    pub(super) withdrawn: &'a Withdrawn,
    /// Version of the quarantine.
    pub(super) quarantine_version: u64,
    /// The replicas of the cluster.
    pub(super) replicas: &'a Replicas,
    /// Whether the renewal came from the node itself.
    pub(super) is_direct: bool,
}

impl RenewalContext<'_> {
    /// Grants all leases first and builds the answers afterwards, so that all answers
    /// lead to the same version of the view. Nodes that hold the same version share one
    /// encoded view.
    pub(super) fn renew(
        &self,
        node_leases: &mut NodeLeases,
        batch: RenewBatch,
        now: Instant,
    ) -> RenewedBatch {
        let known = batch.renewals.iter().map(|renew| renew.view_nodes).max();
        node_leases.report_nodes(known.unwrap_or(0));
        node_leases.expire(now);
        let mut granted = Vec::new();
        for mut renew in batch.renewals {
            let lease = grant_lease(node_leases, &renew, now);
            let sender = self.direct_sender(&renew);
            let parts = grant_quotas(node_leases, &mut renew, lease, now);
            granted.push((renew, sender, lease, parts));
        }
        let interval = node_leases.renew_interval().unwrap_or_default();
        let mut batch = RenewedBatch::default();
        let mut positions: BTreeMap<(u64, u64), u32> = BTreeMap::new();
        for (renew, sender, lease, parts) in granted {
            let held = (renew.view_term, renew.view_version);
            let is_current = held == (node_leases.term(), node_leases.version());
            let relay = sender.filter(|_| !is_current).and_then(|(role, name)| {
                let relay = node_leases.relay_of(role, &name)?;
                let gets_view = !renew.takes_relay
                    && (role == Role::Entry || node_leases.admits_view(held.0, now));
                (!gets_view).then_some(relay)
            });
            let position = match relay {
                Some(_) => 0,
                None => *positions.entry(held).or_insert_with(|| {
                    let view = node_leases.view_since(held.0, held.1, self.withdrawn);
                    add_view(&mut batch.views, view)
                }),
            };
            batch.renewals.push(Renewed {
                relay,
                shared_view: position,
                parts,
                shared_quarantine: renew.quarantine_version != self.quarantine_version,
                replicas: self.unknown_replicas(&renew),
                ..self.renewed(node_leases, lease, interval)
            });
        }
        batch
    }

    fn renewed(&self, node_leases: &NodeLeases, lease: Duration, interval: Duration) -> Renewed {
        Renewed {
            term: node_leases.term(),
            note: self.note,
            lease_ms: u32::try_from(lease.as_millis()).unwrap_or(u32::MAX),
            interval_ms: u32::try_from(interval.as_millis()).unwrap_or(0),
            ..Renewed::default()
        }
    }

    /// Addresses of all replicas if the node follows them and knows others.
    fn unknown_replicas(&self, renew: &Renew) -> Vec<String> {
        match renew.replicas_digest {
            Some(digest) => self.replicas.unless_known(digest),
            None => Vec::new(),
        }
    }

    /// Role and name of the sender of a renewal that came from the node itself. If its zone
    /// is large, it is to have its view from a relay.
    ///
    /// Nodes that have just started know no relay. If each of a thousand got its views
    /// from the leader until it knew most of the others, these views would take up the
    /// leader for many seconds.
    fn direct_sender(&self, renew: &Renew) -> Option<(Role, String)> {
        if !self.is_direct {
            return None;
        }
        match (&renew.node, &renew.unchanged) {
            (Some(node), _) => Some((node.role(), node.name.clone())),
            (None, Some(node)) => Some((node.role(), node.name.clone())),
            (None, None) => None,
        }
    }
}

/// Grants a lease and returns its duration, which is zero if it is refused.
fn grant_lease(node_leases: &mut NodeLeases, renew: &Renew, now: Instant) -> Duration {
    // Read first: the duration may grow with the node that is added.
    let lease = node_leases.lease();
    if let Some(node) = &renew.unchanged {
        let renewed = node_leases.renew_unchanged(node, renew.note, renew.sequence, now);
        return match renewed {
            Ok(()) => lease,
            Err(reason) => {
                log::debug!("state of {} needed for a lease: {reason}", node.name);
                Duration::ZERO
            }
        };
    }
    let Some(info) = renew.node.clone() else {
        return Duration::ZERO;
    };
    let name = info.name.clone();
    match node_leases.renew_in_order(info, renew.note, renew.sequence, now) {
        Ok(()) => lease,
        Err(reason) => {
            log::warn!("lease refused for {name}: {reason}");
            Duration::ZERO
        }
    }
}

/// Grants an entry its quotas. An entry without a lease takes no new work, so it gets
/// none.
fn grant_quotas(
    node_leases: &mut NodeLeases,
    renew: &mut Renew,
    lease: Duration,
    now: Instant,
) -> Vec<AccountPart> {
    let unchanged = renew.unchanged.take().map(|node| NodeInfo {
        role: node.role,
        name: node.name,
        incarnation: node.incarnation,
        ..NodeInfo::default()
    });
    let entry = renew.node.take().or(unchanged);
    let entry = entry.filter(|_| !lease.is_zero());
    let uses = std::mem::take(&mut renew.uses);
    entry.map_or_else(Vec::new, |entry| {
        node_leases.grant_quotas(&entry, renew.sequence, &uses, now)
    })
}

/// Adds a view and returns its position, counted from 1; 0 means no view.
fn add_view(views: &mut Vec<MemberView>, view: Option<MemberView>) -> u32 {
    let Some(view) = view else {
        return 0;
    };
    views.push(view);
    u32::try_from(views.len()).unwrap_or(0)
}
