//! Retries of requests by this entry and by their callers.

use crate::balancer::{Balancer, Inner};
use rand::RngExt;
use rand::rngs::SmallRng;
use route::TargetKey;
use std::time::{Duration, Instant};

impl Balancer {
    /// Adds a request's share to the retry budget of its service.
    pub(crate) fn deposit_retry(&self, service: &str) {
        if let Some(targets) = self.inner().services.get_mut(service) {
            targets.retry_budget.deposit();
        }
    }

    /// Takes one retry from the budget of the service; false if it is exhausted.
    pub(crate) fn withdraw_retry(&self, service: &str, now: Instant) -> bool {
        let mut inner = self.inner();
        let targets = inner.services.get_mut(service);
        targets.is_some_and(|targets| targets.retry_budget.withdraw(now))
    }

    /// Whether the retry budget of the service allows a retry now.
    pub(crate) fn can_withdraw_retry(&self, service: &str, now: Instant) -> bool {
        let mut inner = self.inner();
        let targets = inner.services.get_mut(service);
        targets.is_some_and(|targets| targets.retry_budget.can_withdraw(now))
    }

    /// Delay until a refused caller should retry: `predicted` or later, at most `max_delay`,
    /// but not before the end of a rest of all targets. It is randomised, so that callers
    /// refused together do not retry together.
    pub(crate) fn retry_after_refusal(
        &self,
        service: &str,
        predicted: Duration,
        max_delay: Duration,
        now: Instant,
    ) -> Duration {
        let mut inner = self.inner();
        let Inner { rng, services, .. } = &mut *inner;
        let after_full = self.timing.retry_after_full;
        let Some(targets) = services.get_mut(service) else {
            return with_jitter(after_full, rng);
        };
        let max_delay = max_delay.div_f64(JITTER.end);
        let after = targets.retry_schedule.next_retry_after(max_delay, now);
        let after = with_jitter(after.max(predicted.min(max_delay)), rng);
        let rest = targets.set.time_to_rest_end(now);
        rest.map_or(after, |rest| {
            after.max(rest + after_full.mul_f64(rng.random()))
        })
    }

    /// Delay until a caller that found no target or no route table should retry.
    pub(crate) fn retry_after_absence(&self) -> Duration {
        with_jitter(self.timing.retry_after_absent, &mut self.inner().rng)
    }

    /// Whether the retry budget and the other targets allow a retry now.
    pub(crate) fn can_retry_elsewhere(
        &self,
        service: &str,
        left: Duration,
        tried: &[TargetKey],
        now: Instant,
    ) -> bool {
        let mut inner = self.inner();
        let Inner { rng, services, .. } = &mut *inner;
        services.get_mut(service).is_some_and(|targets| {
            targets.observe_outage(now);
            targets.outage_left(now).is_none()
                && targets.retry_budget.can_withdraw(now)
                && targets.set.can_choose_within(left, tried, now, rng)
        })
    }
}

/// Range of the random factor applied to retry delays.
const JITTER: std::ops::Range<f64> = 0.75..1.5;

fn with_jitter(time: Duration, rng: &mut SmallRng) -> Duration {
    time.mul_f64(rng.random_range(JITTER))
}
