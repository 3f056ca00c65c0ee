//! The outages of one service whose requests have different priorities.

use crate::outage_metrics::OutageMetrics;
use crate::timing::Timing;
use route::{OutageEstimate, Priority, Return, ReturnRamp, ReturnSchedule};
use std::time::{Duration, Instant};

/// Outages after which starts are limited. After a shorter one the reports of load still
/// hold.
const MIN_RAMPED: Duration = Duration::from_secs(1);

/// Steps of the predicted end of an outage.
const PREDICTION_STEP: Duration = Duration::from_millis(250);

/// Minimum time between two requests to failed targets in an outage: as long as a target that
/// has declined is left alone.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Share of the predicted rest of an outage between two such requests. Each is charged to the
/// retry budget, which is needed when the targets are back.
const PROBE_SHARE: f64 = 0.25;

/// Follows the outages of one service: predicts their ends, and controls how its callers
/// return.
#[derive(Debug)]
pub(crate) struct ServiceOutage {
    service: String,
    estimate: OutageEstimate,
    assumed: Duration,
    /// Whether any target has accepted a request since the start of this entry.
    has_served: bool,
    schedule: ReturnSchedule,
    ramp: Option<ReturnRamp>,
    /// When the last request was sent.
    last_start: Option<Instant>,
    metrics: OutageMetrics,
}

impl ServiceOutage {
    pub(crate) fn new(service: &str, timing: &Timing, metrics: OutageMetrics) -> ServiceOutage {
        ServiceOutage {
            service: service.to_owned(),
            // Targets that an entry doesn't know yet announce themselves within that time.
            estimate: OutageEstimate::new(timing.absence.period),
            assumed: timing.assumed_outage,
            has_served: false,
            schedule: ReturnSchedule::default(),
            ramp: None,
            last_start: None,
            metrics,
        }
    }

    /// Records whether the service has no target that serves requests.
    pub(crate) fn observe(&mut self, is_out: bool, now: Instant) {
        if let Some(outage) = self.estimate.settle(now) {
            self.metrics.ended(&self.service, outage.length);
            log::info!(
                service = self.service.as_str(), length_ms:display = outage.length.as_millis(),
                predicted_ms:display = outage.predicted.as_millis();
                "outage ended"
            );
        }
        if !is_out {
            self.observe_return(now);
        } else if let Some(predicted) = self.estimate.began(now) {
            self.schedule.outage_began(now);
            self.ramp = None;
            self.metrics.began(&self.service, predicted);
            log::warn!(
                service = self.service.as_str(), predicted_ms:display = predicted.as_millis(),
                starts_per_s = self.schedule.rate_before().unwrap_or_default();
                "outage began: no target takes work"
            );
        }
    }

    fn observe_return(&mut self, now: Instant) {
        let Some(since) = self.estimate.since() else {
            return;
        };
        self.estimate.ended(now);
        if now.saturating_duration_since(since) >= MIN_RAMPED {
            self.ramp = Some(ReturnRamp::new(self.schedule.rate_before(), now));
        }
    }

    /// Predicted time until the end of the outage; none without one.
    pub(crate) fn remaining(&self, now: Instant) -> Option<Duration> {
        self.estimate.remaining(now)
    }

    /// When the outage should end; none without one. It is rounded up, since the queue
    /// predicts all starts anew whenever it changes.
    pub(crate) fn predicted_end(&self, now: Instant) -> Option<Instant> {
        let remaining = self.estimate.remaining(now)?;
        let since = self.estimate.since()?;
        let length = now.saturating_duration_since(since) + remaining;
        let steps = length.as_millis().div_ceil(PREDICTION_STEP.as_millis());
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        Some(since + PREDICTION_STEP * steps)
    }

    /// Whether a request may start while the load of the targets is unknown after an outage.
    pub(crate) fn admits(&self, now: Instant) -> bool {
        self.ramp.is_none_or(|ramp| ramp.admits(now))
    }

    /// Whether a request may be sent to a failed target in an outage, to try whether it is
    /// back.
    pub(crate) fn may_probe(&self, now: Instant) -> bool {
        let remaining = self.remaining(now).unwrap_or_default();
        let interval = remaining.mul_f64(PROBE_SHARE).max(PROBE_INTERVAL);
        let is_due = |at| now.saturating_duration_since(at) >= interval;
        self.last_start.is_none_or(is_due)
    }

    /// Records that a request was sent to a target.
    pub(crate) fn record_start(&mut self, now: Instant) {
        self.last_start = Some(now);
        self.ramp = self.ramp.filter(|ramp| !ramp.is_over(now));
        if let Some(ramp) = &mut self.ramp {
            ramp.record_start();
        }
    }

    /// Records that a target has accepted a request, and whether it has reported its load.
    pub(crate) fn record_accepted(&mut self, has_load: bool, now: Instant) {
        self.schedule.record_start(now);
        if !self.has_served {
            // The time until the first targets are known says nothing about outages.
            self.has_served = true;
            self.estimate.forget_measured(self.assumed);
        }
        if let Some(ramp) = self.ramp.as_mut().filter(|_| has_load) {
            ramp.record_report();
        }
    }

    /// Delay after which a caller that is refused should retry; none without an outage.
    /// `phase` is a random number from 0 to 1.
    pub(crate) fn retry_after(
        &mut self,
        priority: Priority,
        ahead: usize,
        max_delay: Duration,
        phase: f64,
        now: Instant,
    ) -> Option<Duration> {
        let at = Return {
            remaining: self.estimate.remaining(now)?,
            ahead,
            max_delay,
        };
        self.metrics.refused(&self.service);
        Some(self.schedule.retry_after(priority, &at, phase, now))
    }
}
