//! Rates of starts and arrivals of a request queue.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::Priority;
use crate::pausable_clock::PausableClock;
use crate::rate_window::RateWindow;

/// Fewest starts in the window from which a rate is predicted.
const MIN_STARTS: u32 = 4;
/// Longest time from the beginning of an outage until it is known. A silent rank
/// aborts the work that depends on it after 1.5 s.
const MAX_DETECTION: Duration = Duration::from_secs(2);
/// Most priorities whose arrivals are counted. Priorities come from the
/// configuration, so that more are not expected.
const MAX_PRIORITIES: usize = 64;

/// Measures how many requests start, and how many of each priority arrive.
/// Nothing is measured during a pause.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueueRates {
    clock: PausableClock,
    starts: RateWindow,
    arrivals: BTreeMap<Priority, RateWindow>,
    last_start: Option<Instant>,
    latest: Option<Instant>,
    paused_until: Option<Instant>,
}

impl QueueRates {
    pub(crate) fn set_paused(&mut self, until: Option<Instant>) {
        self.paused_until = until;
        if until.is_some() {
            self.clock.pause(self.outage_start());
        } else {
            self.clock.resume();
        }
    }

    /// The targets were unavailable for some time before this was known: since the
    /// last start, unless no request was there to start.
    fn outage_start(&self) -> Option<Instant> {
        let latest = self.latest?;
        let is_recent = |at: &Instant| latest.saturating_duration_since(*at) < MAX_DETECTION;
        self.last_start.filter(is_recent).or(self.latest)
    }

    /// Remaining time of the pause.
    pub(crate) fn pause_left(&self, now: Instant) -> Duration {
        self.paused_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    pub(crate) fn advance(&mut self, now: Instant) {
        self.latest = self.latest.max(Some(now));
        self.clock.advance(now);
    }

    /// A start after the predicted end of a pause ends the pause.
    pub(crate) fn record_start(&mut self, now: Instant) {
        if self.paused_until.is_some_and(|until| until <= now) {
            self.set_paused(None);
        }
        self.advance(now);
        if !self.clock.is_paused() {
            self.starts.record(self.clock.elapsed(now));
            self.last_start = Some(now);
        }
    }

    pub(crate) fn record_arrival(&mut self, priority: Priority, now: Instant) {
        self.advance(now);
        if self.clock.is_paused() {
            return;
        }
        let at = self.clock.elapsed(now);
        if self.arrivals.len() >= MAX_PRIORITIES && !self.arrivals.contains_key(&priority) {
            self.arrivals.retain(|_, window| window.count(at) > 0);
        }
        if self.arrivals.len() < MAX_PRIORITIES || self.arrivals.contains_key(&priority) {
            self.arrivals.entry(priority).or_default().record(at);
        }
    }

    /// Number of starts in the last two seconds.
    pub(crate) fn recent_starts(&self, now: Instant) -> f64 {
        f64::from(self.starts.count(self.clock.elapsed(now)))
    }

    /// Starts per second of all priorities.
    pub(crate) fn start_rate(&self, now: Instant) -> Option<f64> {
        self.starts.per_second(self.clock.elapsed(now), MIN_STARTS)
    }

    /// Arrivals per second of requests more urgent than `priority`.
    pub(crate) fn urgent_arrival_rate(&self, priority: Priority, now: Instant) -> f64 {
        let at = self.clock.elapsed(now);
        let urgent = self.arrivals.range(..priority);
        urgent
            .filter_map(|(_, window)| window.per_second(at, 1))
            .sum()
    }
}
