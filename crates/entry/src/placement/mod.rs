//! The pools of targets, and who is let in to them.

mod allowance;
mod inner;
mod member;
mod permit;
mod placed;
mod pool_state;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use node::QuotaShares;
use note::Catalogue;
use route::{Fingerprint, Refusal, Suspicion, TargetLoadReport};
use tokio::sync::oneshot;
use wire::proto::{AccountUse, CacheEvents, Quarantine};

use crate::job::Job;
use crate::links::Agent;
use crate::metrics::PoolMetrics;
use crate::{Limits, Timing};

use inner::Inner;
pub(crate) use inner::pool_of;
pub(crate) use member::Member;
pub(crate) use permit::Permit;
pub(crate) use placed::{Placed, StartAt, Wanted};
use pool_state::PoolState;

/// The pools of targets, and who is let in to them: the shared state that the
/// decisions of the `route` crate are taken on.
#[derive(Debug)]
pub(crate) struct Placement {
    inner: Mutex<Inner>,
}

/// What the quarantine holds against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Record {
    /// It may run, alone among suspects or freely.
    Runs(Suspicion),
    /// It is refused.
    Convicted,
}

impl Placement {
    pub(crate) fn new(zone: &str, limits: &Limits, timing: &Timing, seed: u64) -> Self {
        let now = Instant::now();
        Placement {
            inner: Mutex::new(Inner::new(zone, limits, timing, seed, now)),
        }
    }

    /// Brings the pools in line with what is offered and who lives.
    pub(crate) fn update(
        &self,
        now: Instant,
        catalogue: &Catalogue,
        members: &[Member],
        entries: u32,
    ) {
        self.lock().update(now, catalogue, members, entries);
    }

    /// Lets in whoever's turn it is and refuses whose time is over.
    pub(crate) fn advance(&self, now: Instant) {
        for state in self.lock().pools.values_mut() {
            state.advance(now);
        }
    }

    /// Shows the figures of all pools.
    pub(crate) fn show(&self, now: Instant, metrics: &PoolMetrics) {
        for (name, state) in &self.lock().pools {
            state.show(name.as_str(), now, metrics);
        }
    }

    pub(crate) fn set_quarantine(&self, quarantine: &Quarantine) {
        self.lock().set_quarantine(quarantine);
    }

    pub(crate) fn record(&self, fingerprint: &Fingerprint) -> Record {
        self.lock().record(Instant::now(), fingerprint)
    }

    /// Notes that a target crashed while the request ran there.
    pub(crate) fn crashed(&self, fingerprint: Fingerprint) {
        self.lock().crashed(Instant::now(), fingerprint);
    }

    pub(crate) fn report(&self, agent: &Arc<Agent>, report: &TargetLoadReport) {
        let mut inner = self.lock();
        for state in inner.pools.values_mut() {
            if let Some(key) = state.key_of(agent) {
                state.pool.report(key, report);
                state.advance(Instant::now());
            }
        }
    }

    pub(crate) fn cache_events(&self, agent: &Arc<Agent>, events: &CacheEvents) {
        let mut inner = self.lock();
        for state in inner.pools.values_mut() {
            if let Some(key) = state.key_of(agent) {
                let pool = &mut state.pool;
                pool.cache_events(key, events.sequence, &events.stored, &events.evicted);
            }
        }
    }

    /// Lets a request in, at once or when its turn comes before `until`.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        job: &Job,
        until: Instant,
    ) -> Result<Permit, Refusal> {
        let (tx, rx) = oneshot::channel();
        let entered = self.lock().enter(Instant::now(), job, until, tx);
        let (ticket, queued) = entered?;
        let permit = Permit::new(Arc::clone(self), job, ticket);
        if queued {
            // The sender is kept with the ticket, and each ticket is either
            // admitted or refused by its deadline.
            let answer = rx.await.unwrap_or_else(|_| Err(Inner::shed()));
            answer?;
        }
        Ok(permit)
    }

    /// Chooses a target for an attempt, if one has room.
    pub(crate) fn place(self: &Arc<Self>, job: &Job, wanted: &Wanted) -> Option<Placed> {
        let found = self.lock().place(Instant::now(), job, wanted)?;
        Some(Placed::new(Arc::clone(self), job.pool.clone(), found))
    }

    /// Sets the agents of all live targets, linked or not.
    pub(crate) fn set_agents(&self, agents: impl Iterator<Item = Arc<Agent>>) {
        let named = agents.map(|agent| (agent.name.clone(), agent));
        self.lock().agents = named.collect();
    }

    /// The agent of a target, whether or not new work is sent there: a call may run
    /// there that another entry sent.
    pub(crate) fn agent(&self, target: &str) -> Option<Arc<Agent>> {
        self.lock().agents.get(target).cloned()
    }

    /// Whether any target is offered and announced for the request, be it
    /// out of reach just now.
    pub(crate) fn has_targets(&self, job: &Job) -> bool {
        let inner = self.lock();
        let state = inner.pools.get(&job.pool);
        state.is_some_and(PoolState::has_targets)
    }

    /// Acts on the parts of accounts' limits that were granted, and says what is used.
    pub(crate) fn exchange(&self, now: Instant, parts: &QuotaShares) -> Vec<AccountUse> {
        self.lock().exchange(now, parts)
    }

    /// Takes one retry from the budget, if there is one.
    pub(crate) fn withdraw_retry(&self) -> bool {
        self.lock().budget.withdraw(Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Nothing panics half-way through a change; a poisoned state is whole.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
