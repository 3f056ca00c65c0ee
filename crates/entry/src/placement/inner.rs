//! The state behind the lock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use node::Parts;
use note::{Assignment, Catalogue};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::{
    AdmissionSettings, Fingerprint, PoolSettings, Refusal, RefusalReason, RetryBudget, Suspicion,
    TicketKey,
};
use wire::proto::{AccountUse, Quarantine};

use super::allowance::Allowance;
use super::placed::Found;
use super::pool_state::{PoolState, Turn};
use super::{Member, Record, Wanted};
use crate::job::Job;
use crate::links::{Agent, Announced};
use crate::pool_name::PoolName;
use crate::{Limits, Timing};

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) pools: BTreeMap<PoolName, PoolState>,
    pub(super) budget: RetryBudget,
    /// The agents of all live targets, linked or not.
    pub(super) agents: BTreeMap<String, Arc<Agent>>,
    accounts: BTreeMap<String, Allowance>,
    convicted: BTreeSet<Fingerprint>,
    suspects: BTreeSet<Fingerprint>,
    quarantine_version: u64,
    /// Crashes that this entry saw requests cause or be near of, and when the
    /// last one was.
    crashes: BTreeMap<Fingerprint, (u32, Instant)>,
    rng: SmallRng,
    zone: String,
    zone_distance: Duration,
    account_part: f64,
    /// The part that this entry gives out of an account that it was granted none of.
    own_part: f64,
    admission: AdmissionSettings,
}

/// For how long own crashes count: until the quarantine must have heard of
/// them. It has the last word, also when an operator pardons a request.
const OWN_CRASHES: Duration = Duration::from_secs(10);
/// Requests of which own crashes are remembered.
const MAX_OWN_CRASHES: usize = 4096;
/// Targets that one request may crash before it is refused.
const MAX_CRASHED: u32 = 2;
/// A part that was granted is no longer acted on so long before its end: it is looked at
/// at each tick only.
const GRANT_MARGIN: Duration = Duration::from_millis(200);
/// Accounts whose use control is told of with each renewal.
const MOST_TOLD: usize = 128;
/// Network distance assumed within an availability zone.
const NEAR: Duration = Duration::from_micros(300);

impl Inner {
    pub(super) fn new(
        zone: &str,
        limits: &Limits,
        timing: &Timing,
        seed: u64,
        now: Instant,
    ) -> Self {
        Inner {
            pools: BTreeMap::new(),
            agents: BTreeMap::new(),
            budget: RetryBudget::new(limits.retry_ratio, limits.retry_reserve, now),
            accounts: BTreeMap::new(),
            own_part: 1.0,
            convicted: BTreeSet::new(),
            suspects: BTreeSet::new(),
            quarantine_version: 0,
            crashes: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            zone: zone.to_owned(),
            zone_distance: timing.zone_distance,
            account_part: limits.account_part,
            admission: AdmissionSettings {
                queue: limits.queue,
                standing_after: timing.standing_after,
                standing_wait: timing.standing_wait,
                ..AdmissionSettings::default()
            },
        }
    }

    pub(super) fn update(
        &mut self,
        now: Instant,
        catalogue: &Catalogue,
        members: &[Member],
        entries: u32,
    ) {
        self.update_accounts(now, catalogue, entries);
        let mut offered: BTreeMap<PoolName, Vec<&Member>> = BTreeMap::new();
        for model in catalogue.models() {
            offered.insert(PoolName::Model(model.name.clone()), Vec::new());
        }
        for service in catalogue.services() {
            offered.insert(PoolName::Service(service.name.clone()), Vec::new());
        }
        for member in members {
            if let Some(name) = pool_of(catalogue, &member.announced) {
                offered.entry(name).or_default().push(member);
            }
        }
        for (name, members) in &offered {
            let state = self
                .pools
                .entry(name.clone())
                .or_insert_with(|| PoolState::new(PoolSettings::default(), self.admission, now));
            let distance = |row: &Announced| distance(&self.zone, row, self.zone_distance);
            state.update(now, members, distance);
            state.advance(now);
        }
        self.withdraw_pools(now, &offered);
    }

    /// Empties the pools of what is no longer offered, and drops them once
    /// nothing runs there.
    fn withdraw_pools(&mut self, now: Instant, offered: &BTreeMap<PoolName, Vec<&Member>>) {
        self.pools.retain(|name, state| {
            if offered.contains_key(name) {
                return true;
            }
            state.update(now, &[], |_| Duration::ZERO);
            state.advance(now);
            !state.is_idle()
        });
    }

    fn update_accounts(&mut self, now: Instant, catalogue: &Catalogue, entries: u32) {
        self.own_part = if self.account_part > 0.0 {
            self.account_part
        } else {
            1.0 / f64::from(entries)
        };
        for account in catalogue.accounts() {
            let part = self.own_part;
            let allowance = self.accounts.entry(account.name.clone());
            let allowance = allowance.or_insert_with(|| Allowance::new(account, part, now));
            allowance.set_account(account, part, now);
        }
        self.accounts.retain(|name, allowance| {
            allowance.ration().active() > 0 || catalogue.account(name).is_some()
        });
    }

    /// Acts on the parts of accounts' limits that were granted, and says what is used.
    pub(super) fn exchange(&mut self, now: Instant, parts: &Parts) -> Vec<AccountUse> {
        let soon = now + GRANT_MARGIN;
        let fixed = self.account_part > 0.0;
        let mut told = Vec::new();
        for allowance in self.accounts.values_mut() {
            let part = parts.get(&allowance.number()).filter(|_| !fixed);
            let part = part
                .filter(|(_, until)| soon < *until)
                .map(|(part, _)| *part);
            allowance.set_part(part, self.own_part, now);
            told.extend(allowance.told(now).filter(|_| !fixed));
        }
        told.sort_by_key(|used| std::cmp::Reverse((used.demand, used.account)));
        told.truncate(MOST_TOLD);
        told
    }

    pub(super) fn set_quarantine(&mut self, quarantine: &Quarantine) {
        if quarantine.version == self.quarantine_version {
            return;
        }
        let read = |rows: &[bytes::Bytes]| {
            let rows = rows.iter();
            rows.filter_map(|row| Fingerprint::from_slice(row))
                .collect()
        };
        self.quarantine_version = quarantine.version;
        self.convicted = read(&quarantine.convicted);
        self.suspects = read(&quarantine.suspects);
    }

    /// Notes that a target crashed while the request ran there.
    pub(super) fn crashed(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.crashes
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < OWN_CRASHES);
        let known = self.crashes.contains_key(&fingerprint);
        if known || self.crashes.len() < MAX_OWN_CRASHES {
            let (count, at) = self.crashes.entry(fingerprint).or_insert((0, now));
            *count += 1;
            *at = now;
        }
    }

    pub(super) fn record(&self, now: Instant, fingerprint: &Fingerprint) -> Record {
        let own = self.crashes.get(fingerprint);
        let own = own.filter(|(_, at)| now.saturating_duration_since(*at) < OWN_CRASHES);
        let own = own.map_or(0, |(count, _)| *count);
        if self.convicted.contains(fingerprint) || own >= MAX_CRASHED {
            Record::Convicted
        } else if self.suspects.contains(fingerprint) || own > 0 {
            Record::Runs(Suspicion::Suspect)
        } else {
            Record::Runs(Suspicion::Clear)
        }
    }

    pub(super) fn enter(
        &mut self,
        now: Instant,
        job: &Job,
        until: Instant,
        turn: Turn,
    ) -> Result<(TicketKey, bool), Refusal> {
        let account = self.accounts.get_mut(&job.account);
        let account = account.ok_or_else(Self::shed)?;
        let state = self.pools.get_mut(&job.pool).ok_or_else(Self::shed)?;
        account.enter(now, job.tokens)?;
        let entered = state.enter(now, job, until, turn);
        if entered.is_err() {
            account.ration().release(job.tokens, 0);
        } else {
            self.budget.deposit();
        }
        entered
    }

    pub(super) fn leave(
        &mut self,
        account: &str,
        pool: &PoolName,
        ticket: TicketKey,
        estimated: u32,
        used: u32,
    ) {
        if let Some(allowance) = self.accounts.get_mut(account) {
            allowance.ration().release(estimated, used);
        }
        if let Some(state) = self.pools.get_mut(pool) {
            state.release(Instant::now(), ticket, used);
        }
    }

    pub(super) fn place(&mut self, now: Instant, job: &Job, wanted: &Wanted) -> Option<Found> {
        let state = self.pools.get_mut(&job.pool)?;
        state.place(now, job, wanted, &mut self.rng)
    }

    /// The refusal of a request for which there is no room.
    pub(super) fn shed() -> Refusal {
        Refusal {
            reason: RefusalReason::Shed,
            retry_after: AdmissionSettings::default().retry_after,
        }
    }
}

/// The pool that an announced target belongs to, if the note offers it for
/// just that group or service.
pub(crate) fn pool_of(catalogue: &Catalogue, announced: &Announced) -> Option<PoolName> {
    let target = catalogue.target(&announced.target)?;
    if target.assignment != announced.offer {
        return None;
    }
    match &target.assignment {
        Assignment::Group(name) => {
            let group = catalogue.group(name)?;
            Some(PoolName::Model(group.model.clone()))
        }
        Assignment::Service(name) => Some(PoolName::Service(name.clone())),
    }
}

fn distance(zone: &str, announced: &Announced, other_zone: Duration) -> Duration {
    if announced.zone == zone {
        NEAR
    } else {
        other_zone
    }
}
