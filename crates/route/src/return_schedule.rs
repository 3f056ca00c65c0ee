//! Times at which callers that are refused in an outage may retry.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::Priority;

/// Period whose starts are remembered. Requests that stall before an outage is noticed
/// take up less than half of it.
const PERIOD_SECONDS: usize = 8;
const PERIOD: Duration = Duration::from_secs(8);
/// Interval between two callers if no rate is known: an entry has just started.
const ASSUMED_INTERVAL: Duration = Duration::from_millis(50);

/// Spreads the callers that are refused in an outage over the time after its predicted
/// end, at the rate of starts before it.
///
/// If all of them came back at the predicted end, most would be refused again, and most
/// callers do not retry twice. Callers only yield to others that are at least as urgent.
///
/// ```
/// use route::{Priority, Return, ReturnSchedule};
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let mut schedule = ReturnSchedule::default();
/// for n in 0..80 {
///     schedule.record_start(start + Duration::from_millis(100) * n);
/// }
/// let outage = start + Duration::from_secs(8);
/// schedule.outage_began(outage);
/// let at = Return {
///     remaining: Duration::from_secs(1),
///     ahead: 5,
///     max_delay: Duration::from_secs(2),
/// };
/// // Ten requests start per second, and five wait already.
/// let mut delay = || schedule.retry_after(Priority::default(), &at, 0.0, outage);
/// let delays: Vec<Duration> = (0..8).map(|_| delay()).collect();
/// assert_eq!(delays[0], Duration::from_millis(1_500));
/// assert_eq!(delays[4], Duration::from_millis(1_900));
/// assert_eq!(delays[7], Duration::from_secs(2));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    /// Times of recent starts, oldest first.
    starts: VecDeque<Instant>,
    /// Starts per second before the outage, if there were any.
    rate: Option<f64>,
    /// Priorities and times of the retries that are still to come.
    scheduled: Vec<(Priority, Instant)>,
}

/// What is known of a service's return when one of its callers is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Return {
    /// Predicted time until then.
    pub remaining: Duration,
    /// Number of waiting requests that will start before the caller's.
    pub ahead: usize,
    /// Longest delay that the caller honours.
    pub max_delay: Duration,
}

impl ReturnSchedule {
    /// Records that a target has accepted a request.
    pub fn record_start(&mut self, now: Instant) {
        self.starts.push_back(now);
        self.remove_old(now);
    }

    /// Records that an outage has begun, and keeps the rate of starts before it.
    pub fn outage_began(&mut self, now: Instant) {
        self.remove_old(now);
        self.rate = rate(&self.starts, now);
        self.scheduled.clear();
    }

    /// Starts per second before the last outage, if there were any.
    #[must_use]
    pub fn rate_before(&self) -> Option<f64> {
        self.rate
    }

    /// Schedules the retry of one more caller, and returns its delay. `phase` is a random
    /// number from 0 to 1, by which the callers of several entries differ.
    pub fn retry_after(
        &mut self,
        priority: Priority,
        at: &Return,
        phase: f64,
        now: Instant,
    ) -> Duration {
        self.scheduled.retain(|(_, time)| now < *time);
        let earlier = self.scheduled.iter().filter(|(p, _)| *p <= priority);
        let place = u32::try_from(earlier.count() + at.ahead).unwrap_or(u32::MAX);
        let interval = self.rate.map_or(ASSUMED_INTERVAL, |rate| {
            Duration::try_from_secs_f64(1.0 / rate).unwrap_or(ASSUMED_INTERVAL)
        });
        let spread = interval.mul_f64(f64::from(place) + phase);
        let delay = at.remaining.saturating_add(spread).min(at.max_delay);
        self.scheduled.push((priority, now + delay));
        delay
    }

    fn remove_old(&mut self, now: Instant) {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) >= PERIOD;
        while self.starts.front().is_some_and(is_old) {
            self.starts.pop_front();
        }
    }
}

/// The median of the starts in each second of the period, which neither a stall before the
/// outage nor a short burst changes much; or else the mean, if the median is lower.
fn rate(starts: &VecDeque<Instant>, now: Instant) -> Option<f64> {
    let mut counts = [0_u32; PERIOD_SECONDS];
    for at in starts {
        let age = now.saturating_duration_since(*at).as_secs();
        let second = usize::try_from(age).ok();
        if let Some(count) = second.and_then(|second| counts.get_mut(second)) {
            *count += 1;
        }
    }
    let mean = f64::from(counts.iter().sum::<u32>()) / PERIOD.as_secs_f64();
    counts.sort_unstable();
    let median = f64::from(counts[PERIOD_SECONDS / 2]);
    let rate = median.max(mean);
    (rate > 0.0).then_some(rate)
}
