//! Prediction of the end of an outage, as `docs/design/hard-load.md` describes it.

use std::time::{Duration, Instant};

/// Length of an outage that is assumed until one has been measured.
const ASSUMED: Duration = Duration::from_secs(3);

/// Predicts the end of an outage from the mean length of earlier ones.
#[derive(Clone, Debug, Default)]
pub struct OutageEstimate {
    since: Option<Instant>,
    measured: Vec<Duration>,
}

impl OutageEstimate {
    pub fn began(&mut self, now: Instant) {
        self.since.get_or_insert(now);
    }

    pub fn ended(&mut self, now: Instant) {
        let length = self.since.take().map(|since| now - since);
        self.measured.extend(length);
    }

    /// Remaining time of the outage, if there is one.
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        let elapsed = now - self.since?;
        let count = u32::try_from(self.measured.len()).unwrap();
        let mean = self.measured.iter().sum::<Duration>().checked_div(count);
        let remaining = mean.unwrap_or(ASSUMED).checked_sub(elapsed);
        Some(remaining.unwrap_or(elapsed / 2))
    }
}
