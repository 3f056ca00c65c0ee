//! A clock that stands still during pauses.

use std::time::{Duration, Instant};

/// Time since the first use, without the pauses. Rates that are measured with it
/// are not diluted by outages.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PausableClock {
    origin: Option<Instant>,
    is_paused: bool,
    stopped_at: Option<Instant>,
    /// Total length of past pauses.
    paused_for: Duration,
}

impl PausableClock {
    /// Returns the time on this clock.
    pub(crate) fn elapsed(&self, now: Instant) -> Duration {
        let at = self.stopped_at.unwrap_or(now);
        self.origin.map_or(Duration::ZERO, |origin| {
            at.saturating_duration_since(origin)
                .saturating_sub(self.paused_for)
        })
    }

    /// Notes the present time. The clock restarts here after a pause.
    pub(crate) fn advance(&mut self, now: Instant) {
        self.origin.get_or_insert(now);
        if self.is_paused {
            self.stopped_at.get_or_insert(now);
        } else if let Some(stopped_at) = self.stopped_at.take() {
            let pause = now.saturating_duration_since(stopped_at);
            self.paused_for = self.paused_for.saturating_add(pause);
        }
    }

    /// Stops the clock as of `at`, or as of its next use.
    pub(crate) fn pause(&mut self, at: Option<Instant>) {
        self.is_paused = true;
        self.stopped_at = self.stopped_at.or(at);
    }

    pub(crate) fn resume(&mut self) {
        self.is_paused = false;
    }

    pub(crate) fn is_paused(&self) -> bool {
        self.is_paused
    }
}
