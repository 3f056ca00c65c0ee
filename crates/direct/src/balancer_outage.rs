//! Outages of services whose requests have different priorities.

use crate::balancer::{Balancer, Inner};
use crate::outage::ServiceOutage;
use crate::service_targets::ServiceTargets;
use rand::RngExt;
use route::{Priority, TargetKey};
use std::time::{Duration, Instant};

impl Balancer {
    /// Follows the outages of a service whose requests have different priorities.
    pub(crate) fn follow_outages(&self, service: &str, targets: &mut ServiceTargets) {
        if targets.waiting.is_some() {
            let metrics = &self.outage_metrics;
            let new = || ServiceOutage::new(service, &self.timing, metrics.clone());
            targets.outage.get_or_insert_with(new);
        }
    }

    /// Whether broken streams of the service are kept open until a target takes work.
    pub(crate) fn holds_streams(&self, service: &str) -> bool {
        let inner = self.inner();
        let targets = inner.services.get(service);
        targets.is_some_and(|targets| targets.outage.is_some())
    }

    /// Whether the service is known to have an outage.
    pub(crate) fn is_out(&self, service: &str, now: Instant) -> bool {
        let inner = self.inner();
        let targets = inner.services.get(service);
        targets.is_some_and(|targets| targets.outage_left(now).is_some())
    }

    /// Delay until a caller that is refused in an outage should retry; none without one.
    pub(crate) fn retry_after_outage(
        &self,
        service: &str,
        priority: Priority,
        max_delay: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let mut inner = self.inner();
        let Inner { rng, services, .. } = &mut *inner;
        let targets = services.get_mut(service)?;
        targets.observe_outage(now);
        let waiting = targets.waiting.iter().flat_map(|w| w.queue.stats(now));
        let ahead = waiting.filter(|stats| stats.priority <= priority);
        let ahead = ahead.map(|stats| stats.waiting).sum();
        let outage = targets.outage.as_mut()?;
        outage.retry_after(priority, ahead, max_delay, rng.random(), now)
    }

    /// Whether a broken or silent stream could go on at a target that it was not sent to.
    pub(crate) fn can_resume(&self, service: &str, tried: &[TargetKey], now: Instant) -> bool {
        self.can_retry_elsewhere(service, Duration::MAX, tried, now)
    }
}
