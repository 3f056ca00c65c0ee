//! Pools of targets and admission to them.

mod account_quota;
mod inner;
mod live_target;
mod permit;
mod placed_attempt;
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
pub(crate) use live_target::LiveTarget;
pub(crate) use permit::Permit;
pub(crate) use placed_attempt::{AttemptRequirements, PlacedAttempt, StartAt};
use pool_state::PoolState;

/// Pools of targets and admission to them: the shared state on which the `route` crate
/// bases its decisions.
#[derive(Debug)]
pub(crate) struct Placement {
    inner: Mutex<Inner>,
}

/// Quarantine status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuarantineStatus {
    /// It may run: freely, or as a suspect on a target without another suspect.
    Allowed(Suspicion),
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

    /// Updates the pools from the release note and the live targets.
    pub(crate) fn update(
        &self,
        now: Instant,
        catalogue: &Catalogue,
        live_targets: &[LiveTarget],
        entries: u32,
    ) {
        self.lock().update(now, catalogue, live_targets, entries);
    }

    /// Admits queued requests whose turn has come and refuses those whose deadline has
    /// passed.
    pub(crate) fn advance(&self, now: Instant) {
        for state in self.lock().pools.values_mut() {
            state.advance(now);
        }
    }

    /// Updates the metrics of all pools.
    pub(crate) fn export_metrics(&self, now: Instant, metrics: &PoolMetrics) {
        for (name, state) in &self.lock().pools {
            state.export_metrics(name.as_str(), now, metrics);
        }
    }

    pub(crate) fn set_quarantine(&self, quarantine: &Quarantine) {
        self.lock().set_quarantine(quarantine);
    }

    pub(crate) fn quarantine_status(&self, job: &Job) -> QuarantineStatus {
        self.lock().quarantine_status(Instant::now(), job)
    }

    /// Records that a target crashed while it ran the request.
    pub(crate) fn record_crash(&self, fingerprint: Fingerprint) {
        self.lock().record_crash(Instant::now(), fingerprint);
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

    /// Admits a request, at once or when its turn comes before `until`.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        job: &Job,
        until: Instant,
    ) -> Result<Permit, Refusal> {
        let (tx, rx) = oneshot::channel();
        let submitted = self.lock().submit(Instant::now(), job, until, tx);
        let (ticket, queued) = submitted?;
        let permit = Permit::new(Arc::clone(self), job, ticket);
        if queued {
            // The sender is kept with the ticket, and each ticket is either admitted or
            // refused by its deadline.
            let answer = rx.await.unwrap_or_else(|_| Err(Inner::shed_refusal()));
            answer?;
        }
        Ok(permit)
    }

    /// Selects a target for an attempt if one has capacity.
    pub(crate) fn place(
        self: &Arc<Self>,
        job: &Job,
        requirements: &AttemptRequirements,
    ) -> Option<PlacedAttempt> {
        let assignment = self.lock().place(Instant::now(), job, requirements)?;
        Some(PlacedAttempt::new(
            Arc::clone(self),
            job.pool.clone(),
            assignment,
        ))
    }

    /// Sets the agents of all live targets, linked or not.
    pub(crate) fn set_agents(&self, agents: impl Iterator<Item = Arc<Agent>>) {
        let by_name = agents.map(|agent| (agent.name.clone(), agent));
        self.lock().agents = by_name.collect();
    }

    /// Returns the agent of a target, also if this entry sends it no new work: it may
    /// run a call from another entry.
    pub(crate) fn agent(&self, target: &str) -> Option<Arc<Agent>> {
        self.lock().agents.get(target).cloned()
    }

    /// Whether a target for the request is offered and announced, even if it is
    /// unreachable at present.
    pub(crate) fn has_targets(&self, job: &Job) -> bool {
        let inner = self.lock();
        let state = inner.pools.get(&job.pool);
        state.is_some_and(PoolState::has_targets)
    }

    /// Applies the granted fractions of account limits and returns the usage to report.
    pub(crate) fn exchange_quotas(&self, now: Instant, parts: &QuotaShares) -> Vec<AccountUse> {
        self.lock().exchange_quotas(now, parts)
    }

    /// Withdraws a retry from the budget; `false` if the budget is exhausted.
    pub(crate) fn withdraw_retry(&self) -> bool {
        self.lock().budget.withdraw(Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // No code panics in the middle of an update, so a poisoned state is consistent.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
