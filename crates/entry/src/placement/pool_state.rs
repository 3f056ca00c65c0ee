//! A pool with the agents of its targets and its queued requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use rand::rngs::SmallRng;
use route::{
    AccountKey, AccountLimits, Admission, AdmissionSettings, PlacementRequest, Pool, PoolSettings,
    Refusal, StartState, TargetKey, TargetStatus, TicketKey,
};
use tokio::sync::oneshot;

use super::LiveTarget;
use super::placed_attempt::{Assignment, AttemptRequirements, StartAt};
use crate::job::Job;
use crate::links::{Agent, AnnouncedTarget};
use crate::metrics::{self, PoolMetrics};

/// Notifies a queued request that it was admitted or refused.
pub(super) type AdmissionSender = oneshot::Sender<Result<(), Refusal>>;

/// A pool with the agents of its targets and its queued requests.
#[derive(Debug)]
pub(super) struct PoolState {
    pub(super) pool: Pool,
    admission: Admission,
    accounts: BTreeMap<String, AccountKey>,
    targets: BTreeMap<String, PoolTarget>,
    waiters: BTreeMap<TicketKey, AdmissionSender>,
    created: Instant,
    /// When the capacity was last updated.
    capacity_updated: Option<Instant>,
}

/// Targets that are discovered within this time after the creation of the pool are
/// assumed to have been running before.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(10);
/// Time for which a computed capacity is reused. Computing it visits each target, which
/// is too expensive per request with hundreds of targets.
const CAPACITY_MAX_AGE: Duration = Duration::from_millis(2);

#[derive(Debug)]
struct PoolTarget {
    key: TargetKey,
    agent: Arc<Agent>,
    announced: AnnouncedTarget,
}

impl PoolState {
    pub(super) fn new(
        pool_settings: PoolSettings,
        admission_settings: AdmissionSettings,
        now: Instant,
    ) -> Self {
        PoolState {
            pool: Pool::new(pool_settings),
            admission: Admission::new(admission_settings),
            accounts: BTreeMap::new(),
            targets: BTreeMap::new(),
            waiters: BTreeMap::new(),
            created: now,
            capacity_updated: None,
        }
    }

    pub(super) fn key_of(&self, agent: &Arc<Agent>) -> Option<TargetKey> {
        let target = self.targets.get(&agent.name)?;
        Arc::ptr_eq(&target.agent, agent).then_some(target.key)
    }

    pub(super) fn has_targets(&self) -> bool {
        !self.targets.is_empty()
    }

    pub(super) fn is_idle(&self) -> bool {
        self.targets.is_empty() && self.admission.running() == 0 && self.admission.waiting() == 0
    }

    /// Updates the targets from `live_targets`.
    pub(super) fn update(
        &mut self,
        now: Instant,
        live_targets: &[&LiveTarget],
        distance: impl Fn(&AnnouncedTarget) -> Duration,
    ) {
        let recently_created = now.saturating_duration_since(self.created) < DISCOVERY_PERIOD;
        let start_state = if recently_created {
            StartState::Warm
        } else {
            StartState::Cold
        };
        for live_target in live_targets {
            let name = &live_target.announced.target;
            let key = if let Some(target) = self.targets.get(name) {
                target.key
            } else {
                let distance = distance(&live_target.announced);
                self.pool.insert(name, distance, start_state, now)
            };
            let target = PoolTarget {
                key,
                agent: Arc::clone(&live_target.agent),
                announced: live_target.announced.clone(),
            };
            let previous = self.targets.insert(name.clone(), target);
            if previous.is_some_and(|previous| !Arc::ptr_eq(&previous.agent, &live_target.agent)) {
                self.pool.restarted(now, key);
            }
            self.pool.set_ranks(key, &live_target.announced.ranks);
            self.pool
                .set_share(key, 1.0 / f64::from(live_target.entries.max(1)));
            self.pool.set_status(key, live_target.status);
        }
        let pool = &mut self.pool;
        self.targets.retain(|name, target| {
            if live_targets
                .iter()
                .any(|live_target| live_target.announced.target == *name)
            {
                return true;
            }
            pool.set_status(target.key, TargetStatus::Unavailable);
            let busy = pool.running(target.key) > 0 && !target.agent.ended.is_cancelled();
            if !busy {
                pool.remove(target.key);
            }
            busy
        });
    }

    /// Submits a request for admission. `true` means that it is queued and
    /// `admission_tx` receives the decision.
    pub(super) fn submit(
        &mut self,
        now: Instant,
        job: &Job,
        until: Instant,
        admission_tx: AdmissionSender,
    ) -> Result<(TicketKey, bool), Refusal> {
        let limits = AccountLimits {
            share: job.share,
            ..AccountLimits::default()
        };
        let account = match self.accounts.get(&job.account) {
            Some(account) => *account,
            None => self.admission.insert(limits, now),
        };
        self.accounts.insert(job.account.clone(), account);
        self.admission.set_limits(account, limits, now);
        self.refresh_capacity(now);
        let admission = &mut self.admission;
        match admission.submit(now, account, job.tokens, job.priority, until) {
            route::AdmissionDecision::Admitted(ticket) => Ok((ticket, false)),
            route::AdmissionDecision::Queued(ticket) => {
                self.waiters.insert(ticket, admission_tx);
                // Queuing this request may have shed another one.
                self.advance(now);
                Ok((ticket, true))
            }
            route::AdmissionDecision::Refused(refusal) => Err(refusal),
        }
    }

    pub(super) fn release(&mut self, now: Instant, ticket: TicketKey, used: u32) {
        self.waiters.remove(&ticket);
        self.admission.release(ticket, used);
        self.advance(now);
    }

    /// Updates the metrics of the pool.
    pub(super) fn export_metrics(&self, name: &str, now: Instant, metrics: &PoolMetrics) {
        let label = metrics::PoolLabel {
            pool: name.to_owned(),
        };
        let set = |family: &Family<metrics::PoolLabel, Gauge>, value: usize| {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            family.get_or_create(&label).set(value);
        };
        set(&metrics.ready, self.pool.ready().len());
        set(&metrics.running, self.admission.running() as usize);
        set(&metrics.waiting, self.admission.waiting());
        set(&metrics.places, to_usize(self.pool.capacity(now).usable));
    }

    fn refresh_capacity(&mut self, now: Instant) {
        let is_fresh =
            |capacity_updated| now.saturating_duration_since(capacity_updated) < CAPACITY_MAX_AGE;
        if !self.capacity_updated.is_some_and(is_fresh) {
            self.admission.set_capacity(self.pool.capacity(now));
            self.capacity_updated = Some(now);
        }
    }

    /// Admits queued requests whose turn has come and refuses those that have expired.
    pub(super) fn advance(&mut self, now: Instant) {
        self.refresh_capacity(now);
        let advance = self.admission.advance(now);
        for ticket in advance.admitted {
            if let Some(admission_tx) = self.waiters.remove(&ticket) {
                // If the receiver has been dropped, the permit of the request releases
                // the capacity.
                let _ = admission_tx.send(Ok(()));
            }
        }
        for (ticket, refusal) in advance.refused {
            if let Some(admission_tx) = self.waiters.remove(&ticket) {
                let _ = admission_tx.send(Err(refusal));
            }
        }
    }

    pub(super) fn place(
        &mut self,
        now: Instant,
        job: &Job,
        requirements: &AttemptRequirements,
        rng: &mut SmallRng,
    ) -> Option<Assignment> {
        let unsuitable = self
            .targets
            .values()
            .filter(|target| !is_suitable(target, job, requirements));
        let avoid: Vec<TargetKey> = unsuitable.map(|target| target.key).collect();
        let request = PlacementRequest {
            tokens: job.prompt_tokens,
            prefix: job.prefix,
            suspicion: job.suspicion,
            avoid: &avoid,
        };
        let choice = self.pool.choose(now, &request, rng)?;
        let target = self
            .targets
            .values()
            .find(|target| target.key == choice.target)?;
        let group = match &target.announced.offer {
            note::Assignment::Group(group) => group.clone(),
            note::Assignment::Service(_) => String::new(),
        };
        Some(Assignment {
            agent: Arc::clone(&target.agent),
            group,
            rank: choice.rank,
            attempt: self.pool.start(now, &choice, &request),
        })
    }
}

fn is_suitable(target: &PoolTarget, job: &Job, requirements: &AttemptRequirements) -> bool {
    let announced = &target.announced;
    let resumes = requirements.start == StartAt::Beginning || announced.can_resume;
    let has = |list: &[String], name: &String| name.is_empty() || list.contains(name);
    resumes
        && !requirements.avoid.contains(&announced.target)
        && has(&announced.adapters, &job.adapter)
        && has(&announced.versions, &job.version)
}

/// Truncates a count to an integer.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the count is clamped to the range of the type"
)]
fn to_usize(count: f64) -> usize {
    count.clamp(0.0, f64::from(u32::MAX)) as usize
}
