//! The leases of a batch of renewals.

use crate::roster::Roster;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use wire::proto::{AccountPart, MemberView, Renew, RenewBatch, Renewed, RenewedBatch};

/// What this leader grants leases on.
pub(super) struct Granting<'a> {
    pub(super) note: u64,
    pub(super) lease: Duration,
    pub(super) drained: &'a BTreeSet<String>,
    pub(super) quarantine: u64,
}

impl Granting<'_> {
    /// Takes all renewals in and then answers each, so that they all end at the same
    /// version of the view. Nodes that hold the same version are told the same, once.
    pub(super) fn grant(
        &self,
        roster: &mut Roster,
        batch: RenewBatch,
        now: Instant,
    ) -> RenewedBatch {
        roster.expire(now);
        let mut granted = Vec::new();
        for mut renew in batch.renewals {
            let lease = self.lease_of(roster, &renew, now);
            let parts = parts_of(roster, &mut renew, lease, now);
            granted.push((renew, lease, parts));
        }
        let mut batch = RenewedBatch::default();
        let mut places: BTreeMap<(u64, u64), u32> = BTreeMap::new();
        for (renew, lease, parts) in granted {
            let held = (renew.view_term, renew.view_version);
            let place = *places.entry(held).or_insert_with(|| {
                let news = roster.news(held.0, held.1, self.drained);
                place_of(&mut batch.views, news)
            });
            batch.renewals.push(Renewed {
                term: roster.term(),
                note: self.note,
                lease_ms: u32::try_from(lease.as_millis()).unwrap_or(u32::MAX),
                shared_view: place,
                parts,
                shared_quarantine: renew.quarantine_version != self.quarantine,
                ..Renewed::default()
            });
        }
        batch
    }

    fn lease_of(&self, roster: &mut Roster, renew: &Renew, now: Instant) -> Duration {
        let Some(info) = renew.node.clone() else {
            return Duration::ZERO;
        };
        let name = info.name.clone();
        match roster.renew_in_order(info, renew.note, renew.sequence, now) {
            Ok(()) => self.lease,
            Err(reason) => {
                log::warn!("no lease for {name}: {reason}");
                Duration::ZERO
            }
        }
    }
}

/// An entry without a lease takes no new work, so it needs no part of anything.
fn parts_of(
    roster: &mut Roster,
    renew: &mut Renew,
    lease: Duration,
    now: Instant,
) -> Vec<AccountPart> {
    let entry = renew.node.take().filter(|_| !lease.is_zero());
    let uses = std::mem::take(&mut renew.uses);
    entry.map_or_else(Vec::new, |entry| {
        roster.share(&entry, renew.sequence, &uses, now)
    })
}

/// The place of a view among those to be sent, counted from 1; 0 for none.
fn place_of(views: &mut Vec<MemberView>, news: Option<MemberView>) -> u32 {
    let Some(news) = news else {
        return 0;
    };
    views.push(news);
    u32::try_from(views.len()).unwrap_or(0)
}
