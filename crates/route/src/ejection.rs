//! Ejection of targets that fail repeatedly.

use std::time::{Duration, Instant};

use crate::PoolSettings;

/// Consecutive failures of a target, and the end of its ejection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ejection {
    consecutive_failures: u32,
    /// Ejections since the last success; the period doubles with each.
    ejections: u32,
    until: Option<Instant>,
}

impl Ejection {
    pub(crate) fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejections = 0;
    }

    /// Counts a failure and returns whether the target should be ejected.
    pub(crate) fn record_failure(&mut self, settings: &PoolSettings) -> bool {
        self.consecutive_failures += 1;
        self.consecutive_failures >= settings.ejection_failures
    }

    pub(crate) fn eject(&mut self, now: Instant, settings: &PoolSettings) {
        self.until = Some(now + self.period(settings));
        self.ejections = self.ejections.saturating_add(1);
        self.consecutive_failures = 0;
    }

    fn period(&self, settings: &PoolSettings) -> Duration {
        let period = settings.ejection.checked_mul(1 << self.ejections.min(16));
        period.map_or(settings.ejection_max, |period| {
            period.min(settings.ejection_max)
        })
    }
}
