//! The state protected by the lock of `Placement`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use node::QuotaShares;
use note::Catalogue;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::{
    AdmissionSettings, Fingerprint, PoolSettings, Refusal, RefusalReason, RetryBudget, Suspicion,
    TicketKey,
};
use wire::proto::{AccountUse, Quarantine};

use super::account_quota::AccountQuota;
use super::placed_attempt::Assignment;
use super::pool_state::{AdmissionSender, PoolState};
use super::{AttemptRequirements, LiveTarget, QuarantineStatus};
use crate::job::Job;
use crate::links::{Agent, AnnouncedTarget};
use crate::pool_name::PoolName;
use crate::{Limits, Timing};

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) pools: BTreeMap<PoolName, PoolState>,
    pub(super) budget: RetryBudget,
    /// The agents of all live targets, linked or not.
    pub(super) agents: BTreeMap<String, Arc<Agent>>,
    accounts: BTreeMap<String, AccountQuota>,
    convicted: BTreeSet<Fingerprint>,
    suspects: BTreeSet<Fingerprint>,
    quarantine_version: u64,
    /// Number of target crashes that this entry saw while a request was running there,
    /// and the time of the last one. The request need not have caused them.
    local_crashes: BTreeMap<Fingerprint, (u32, Instant)>,
    rng: SmallRng,
    zone: String,
    zone_distance: Duration,
    account_part: f64,
    /// Fraction of the limits of an account that this entry uses without a grant.
    default_fraction: f64,
    admission: AdmissionSettings,
}

/// Time for which locally observed crashes count. By then the quarantine knows of them;
/// afterwards it alone decides, so that an operator can pardon a request.
const LOCAL_CRASH_TTL: Duration = Duration::from_secs(10);
/// Maximum number of requests with locally recorded crashes.
const MAX_LOCAL_CRASHES: usize = 4096;
/// Number of crashed targets after which a request is refused.
const CRASH_LIMIT: u32 = 2;
/// Time before its expiry at which a grant is no longer used, as grants are checked
/// only at each tick.
const GRANT_MARGIN: Duration = Duration::from_millis(200);
/// Maximum number of accounts reported to control with each renewal.
const MAX_REPORTED_ACCOUNTS: usize = 128;
/// Network latency assumed within an availability zone.
const SAME_ZONE_DISTANCE: Duration = Duration::from_micros(300);

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
            default_fraction: 1.0,
            convicted: BTreeSet::new(),
            suspects: BTreeSet::new(),
            quarantine_version: 0,
            local_crashes: BTreeMap::new(),
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
        live_targets: &[LiveTarget],
        entries: u32,
    ) {
        self.update_accounts(now, catalogue, entries);
        let mut targets_by_pool: BTreeMap<PoolName, Vec<&LiveTarget>> = BTreeMap::new();
        for model in catalogue.models() {
            targets_by_pool.insert(PoolName::Model(model.name.clone()), Vec::new());
        }
        for service in catalogue.services() {
            targets_by_pool.insert(PoolName::Service(service.name.clone()), Vec::new());
        }
        for live_target in live_targets {
            if let Some(name) = pool_of(catalogue, &live_target.announced) {
                targets_by_pool.entry(name).or_default().push(live_target);
            }
        }
        for (name, live_targets) in &targets_by_pool {
            let state = self
                .pools
                .entry(name.clone())
                .or_insert_with(|| PoolState::new(PoolSettings::default(), self.admission, now));
            let distance =
                |announced: &AnnouncedTarget| distance(&self.zone, announced, self.zone_distance);
            state.update(now, live_targets, distance);
            state.advance(now);
        }
        self.withdraw_pools(now, &targets_by_pool);
    }

    /// Empties the pools of withdrawn models and services, and removes them once they
    /// are idle.
    fn withdraw_pools(
        &mut self,
        now: Instant,
        targets_by_pool: &BTreeMap<PoolName, Vec<&LiveTarget>>,
    ) {
        self.pools.retain(|name, state| {
            if targets_by_pool.contains_key(name) {
                return true;
            }
            state.update(now, &[], |_| Duration::ZERO);
            state.advance(now);
            !state.is_idle()
        });
    }

    fn update_accounts(&mut self, now: Instant, catalogue: &Catalogue, entries: u32) {
        self.default_fraction = if self.account_part > 0.0 {
            self.account_part
        } else {
            1.0 / f64::from(entries)
        };
        for account in catalogue.accounts() {
            let fraction = self.default_fraction;
            let quota = self.accounts.entry(account.name.clone());
            let quota = quota.or_insert_with(|| AccountQuota::new(account, fraction, now));
            quota.set_account(account, fraction, now);
        }
        self.accounts.retain(|name, quota| {
            quota.limiter().active() > 0 || catalogue.account(name).is_some()
        });
    }

    /// Applies the granted fractions of account limits and returns the usage to report.
    pub(super) fn exchange_quotas(&mut self, now: Instant, parts: &QuotaShares) -> Vec<AccountUse> {
        let margin_end = now + GRANT_MARGIN;
        let is_fixed = self.account_part > 0.0;
        let mut uses = Vec::new();
        for quota in self.accounts.values_mut() {
            let fraction = parts.get(&quota.hash()).filter(|_| !is_fixed);
            let fraction = fraction
                .filter(|(_, until)| margin_end < *until)
                .map(|(fraction, _)| *fraction);
            quota.set_granted_fraction(fraction, self.default_fraction, now);
            uses.extend(quota.report(now).filter(|_| !is_fixed));
        }
        uses.sort_by_key(|usage| std::cmp::Reverse((usage.demand, usage.account)));
        uses.truncate(MAX_REPORTED_ACCOUNTS);
        uses
    }

    pub(super) fn set_quarantine(&mut self, quarantine: &Quarantine) {
        if quarantine.version == self.quarantine_version {
            return;
        }
        let parse = |fingerprints: &[bytes::Bytes]| {
            let fingerprints = fingerprints.iter();
            fingerprints
                .filter_map(|bytes| Fingerprint::from_slice(bytes))
                .collect()
        };
        self.quarantine_version = quarantine.version;
        self.convicted = parse(&quarantine.convicted);
        self.suspects = parse(&quarantine.suspects);
    }

    /// Records that a target crashed while it ran the request.
    pub(super) fn record_crash(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.local_crashes
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < LOCAL_CRASH_TTL);
        let is_known = self.local_crashes.contains_key(&fingerprint);
        if is_known || self.local_crashes.len() < MAX_LOCAL_CRASHES {
            let (count, at) = self.local_crashes.entry(fingerprint).or_insert((0, now));
            *count += 1;
            *at = now;
        }
    }

    pub(super) fn quarantine_status(&self, now: Instant, job: &Job) -> QuarantineStatus {
        let fingerprint = &job.fingerprint;
        let local = self.local_crashes.get(fingerprint);
        let local = local.filter(|(_, at)| now.saturating_duration_since(*at) < LOCAL_CRASH_TTL);
        let local = local.map_or(0, |(count, _)| *count);
        let mut features = job.parts.iter().chain([fingerprint]);
        let convicted = features.any(|feature| self.convicted.contains(feature));
        if convicted || local >= CRASH_LIMIT {
            QuarantineStatus::Convicted
        } else if self.suspects.contains(fingerprint) || local > 0 {
            QuarantineStatus::Allowed(Suspicion::Suspect)
        } else {
            QuarantineStatus::Allowed(Suspicion::Clear)
        }
    }

    pub(super) fn submit(
        &mut self,
        now: Instant,
        job: &Job,
        until: Instant,
        admission_tx: AdmissionSender,
    ) -> Result<(TicketKey, bool), Refusal> {
        let account = self.accounts.get_mut(&job.account);
        let account = account.ok_or_else(Self::shed_refusal)?;
        let state = self
            .pools
            .get_mut(&job.pool)
            .ok_or_else(Self::shed_refusal)?;
        account.acquire(now, job.tokens)?;
        let submitted = state.submit(now, job, until, admission_tx);
        if submitted.is_err() {
            account.limiter().release(job.tokens, 0);
        } else {
            self.budget.deposit();
        }
        submitted
    }

    pub(super) fn release(
        &mut self,
        account: &str,
        pool: &PoolName,
        ticket: TicketKey,
        estimated: u32,
        used: u32,
    ) {
        if let Some(quota) = self.accounts.get_mut(account) {
            quota.limiter().release(estimated, used);
        }
        if let Some(state) = self.pools.get_mut(pool) {
            state.release(Instant::now(), ticket, used);
        }
    }

    pub(super) fn place(
        &mut self,
        now: Instant,
        job: &Job,
        requirements: &AttemptRequirements,
    ) -> Option<Assignment> {
        let state = self.pools.get_mut(&job.pool)?;
        state.place(now, job, requirements, &mut self.rng)
    }

    /// Refusal of a request for which there is no capacity.
    pub(super) fn shed_refusal() -> Refusal {
        Refusal {
            reason: RefusalReason::Shed,
            retry_after: AdmissionSettings::default().retry_after,
        }
    }
}

/// Returns the pool of an announced target if the release note assigns the target to
/// the announced group or service.
pub(crate) fn pool_of(catalogue: &Catalogue, announced: &AnnouncedTarget) -> Option<PoolName> {
    let target = catalogue.target(&announced.target)?;
    if target.assignment != announced.offer {
        return None;
    }
    match &target.assignment {
        note::Assignment::Group(name) => {
            let group = catalogue.group(name)?;
            Some(PoolName::Model(group.model.clone()))
        }
        note::Assignment::Service(name) => Some(PoolName::Service(name.clone())),
    }
}

fn distance(zone: &str, announced: &AnnouncedTarget, other_zone_distance: Duration) -> Duration {
    if announced.zone == zone {
        SAME_ZONE_DISTANCE
    } else {
        other_zone_distance
    }
}
