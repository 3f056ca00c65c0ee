//! Targets that fail again and again are left out for a while.

use std::time::{Duration, Instant};

use crate::PoolSettings;

/// Failures in a row, and until when the target is left out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ejection {
    failures: u32,
    times: u32,
    until: Option<Instant>,
}

impl Ejection {
    pub(crate) fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
        self.times = 0;
    }

    /// Counts a failure and says whether the target is due to be ejected.
    pub(crate) fn failed(&mut self, tuning: &PoolSettings) -> bool {
        self.failures += 1;
        self.failures >= tuning.ejection_failures
    }

    pub(crate) fn eject(&mut self, now: Instant, tuning: &PoolSettings) {
        self.until = Some(now + self.period(tuning));
        self.times = self.times.saturating_add(1);
        self.failures = 0;
    }

    fn period(&self, tuning: &PoolSettings) -> Duration {
        let doubled = tuning.ejection.checked_mul(1 << self.times.min(16));
        doubled.map_or(tuning.ejection_max, |time| time.min(tuning.ejection_max))
    }
}
