//! One pool with its targets' agents and its waiting requests.

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

use super::Member;
use super::placed::{Found, StartAt, Wanted};
use crate::job::Job;
use crate::links::{Agent, Announced};
use crate::metrics::{self, PoolMetrics};

/// Tells a queued request that its turn has come, or that it never will.
pub(super) type Turn = oneshot::Sender<Result<(), Refusal>>;

/// One pool with its targets' agents and its waiting requests.
#[derive(Debug)]
pub(super) struct PoolState {
    pub(super) pool: Pool,
    admission: Admission,
    accounts: BTreeMap<String, AccountKey>,
    slots: BTreeMap<String, Slot>,
    waiters: BTreeMap<TicketKey, Turn>,
    created: Instant,
    /// When the places were last counted.
    counted: Option<Instant>,
}

/// Targets that are first heard of within this time ran before the pool did.
const GETTING_TO_KNOW: Duration = Duration::from_secs(10);
/// For how long a count of the places holds. Counting looks at each target,
/// which at hundreds of them is too much for each request.
const COUNT_HOLDS: Duration = Duration::from_millis(2);

#[derive(Debug)]
struct Slot {
    key: TargetKey,
    agent: Arc<Agent>,
    announced: Announced,
}

impl PoolState {
    pub(super) fn new(tuning: PoolSettings, settings: AdmissionSettings, now: Instant) -> Self {
        PoolState {
            pool: Pool::new(tuning),
            admission: Admission::new(settings),
            accounts: BTreeMap::new(),
            slots: BTreeMap::new(),
            waiters: BTreeMap::new(),
            created: now,
            counted: None,
        }
    }

    pub(super) fn key_of(&self, agent: &Arc<Agent>) -> Option<TargetKey> {
        let slot = self.slots.get(&agent.name)?;
        Arc::ptr_eq(&slot.agent, agent).then_some(slot.key)
    }

    pub(super) fn has_targets(&self) -> bool {
        !self.slots.is_empty()
    }

    pub(super) fn is_idle(&self) -> bool {
        self.slots.is_empty() && self.admission.running() == 0 && self.admission.waiting() == 0
    }

    /// Brings the targets in line with `members`.
    pub(super) fn update(
        &mut self,
        now: Instant,
        members: &[&Member],
        distance: impl Fn(&Announced) -> Duration,
    ) {
        let known = now.saturating_duration_since(self.created) < GETTING_TO_KNOW;
        let arrival = if known {
            StartState::Warm
        } else {
            StartState::Cold
        };
        for member in members {
            let name = &member.announced.target;
            let key = if let Some(slot) = self.slots.get(name) {
                slot.key
            } else {
                let distance = distance(&member.announced);
                self.pool.insert(name, distance, arrival, now)
            };
            let slot = Slot {
                key,
                agent: Arc::clone(&member.agent),
                announced: member.announced.clone(),
            };
            let former = self.slots.insert(name.clone(), slot);
            if former.is_some_and(|former| !Arc::ptr_eq(&former.agent, &member.agent)) {
                self.pool.restarted(now, key);
            }
            self.pool.set_ranks(key, &member.announced.ranks);
            self.pool
                .set_share(key, 1.0 / f64::from(member.entries.max(1)));
            self.pool.set_status(key, member.standing);
        }
        let pool = &mut self.pool;
        self.slots.retain(|name, slot| {
            if members
                .iter()
                .any(|member| member.announced.target == *name)
            {
                return true;
            }
            pool.set_status(slot.key, TargetStatus::Unavailable);
            let busy = pool.running(slot.key) > 0 && !slot.agent.gone.is_cancelled();
            if !busy {
                pool.remove(slot.key);
            }
            busy
        });
    }

    /// Asks for a request to be let in; `true` when it waits for `turn`.
    pub(super) fn enter(
        &mut self,
        now: Instant,
        job: &Job,
        until: Instant,
        turn: Turn,
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
        self.count_places(now);
        let admission = &mut self.admission;
        match admission.submit(now, account, job.tokens, job.priority, until) {
            route::AdmissionDecision::Admitted(ticket) => Ok((ticket, false)),
            route::AdmissionDecision::Queued(ticket) => {
                self.waiters.insert(ticket, turn);
                // It may have shed another one.
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

    /// Shows the pool's figures.
    pub(super) fn show(&self, name: &str, now: Instant, metrics: &PoolMetrics) {
        let label = metrics::Pool {
            pool: name.to_owned(),
        };
        let show = |family: &Family<metrics::Pool, Gauge>, value: usize| {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            family.get_or_create(&label).set(value);
        };
        show(&metrics.ready, self.pool.ready().len());
        show(&metrics.running, self.admission.running() as usize);
        show(&metrics.waiting, self.admission.waiting());
        show(&metrics.places, to_whole(self.pool.capacity(now).usable));
    }

    fn count_places(&mut self, now: Instant) {
        let holds = |counted| now.saturating_duration_since(counted) < COUNT_HOLDS;
        if !self.counted.is_some_and(holds) {
            self.admission.set_capacity(self.pool.capacity(now));
            self.counted = Some(now);
        }
    }

    /// Lets in whoever's turn it is.
    pub(super) fn advance(&mut self, now: Instant) {
        self.count_places(now);
        let advance = self.admission.advance(now);
        for ticket in advance.admitted {
            if let Some(turn) = self.waiters.remove(&ticket) {
                // A receiver that is gone gives its place back by itself.
                let _ = turn.send(Ok(()));
            }
        }
        for (ticket, refusal) in advance.refused {
            if let Some(turn) = self.waiters.remove(&ticket) {
                let _ = turn.send(Err(refusal));
            }
        }
    }

    pub(super) fn place(
        &mut self,
        now: Instant,
        job: &Job,
        wanted: &Wanted,
        rng: &mut SmallRng,
    ) -> Option<Found> {
        let unfit = self.slots.values().filter(|slot| !fits(slot, job, wanted));
        let avoid: Vec<TargetKey> = unfit.map(|slot| slot.key).collect();
        let demand = PlacementRequest {
            tokens: job.prompt_tokens,
            prefix: job.prefix,
            suspicion: job.suspicion,
            avoid: &avoid,
        };
        let choice = self.pool.choose(now, &demand, rng)?;
        let slot = self.slots.values().find(|slot| slot.key == choice.target)?;
        let group = match &slot.announced.offer {
            note::Assignment::Group(group) => group.clone(),
            note::Assignment::Service(_) => String::new(),
        };
        Some(Found {
            agent: Arc::clone(&slot.agent),
            group,
            rank: choice.rank,
            attempt: self.pool.start(now, &choice, &demand),
        })
    }
}

fn fits(slot: &Slot, job: &Job, wanted: &Wanted) -> bool {
    let announced = &slot.announced;
    let resumes = wanted.start == StartAt::Beginning || announced.can_resume;
    let has = |list: &[String], name: &String| name.is_empty() || list.contains(name);
    resumes
        && !wanted.avoid.contains(&announced.target)
        && has(&announced.adapters, &job.adapter)
        && has(&announced.versions, &job.version)
}

/// The whole part of a count.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the count is clamped to what the type holds before"
)]
fn to_whole(count: f64) -> usize {
    count.clamp(0.0, f64::from(u32::MAX)) as usize
}
