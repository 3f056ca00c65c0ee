//! Times at which refused callers may retry.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time window in which completed requests are counted.
const WINDOW: Duration = Duration::from_secs(2);

/// Schedules the retries of refused callers for when there should be room for
/// them, given the recent rate of completed requests and the retries that are
/// already scheduled.
///
/// With a fixed retry time, callers would find all targets full again in a burst
/// that lasts longer, and most callers do not retry twice.
///
/// ```
/// use route::RetryAfterSchedule;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let (min_wait, max_wait) = (Duration::from_secs(1), Duration::from_secs(3));
/// let mut schedule = RetryAfterSchedule::new(min_wait);
/// for _ in 0..8 {
///     schedule.record_completion(now);
/// }
/// // Four requests complete per second, so there is room for eight within 2 s.
/// let waits: Vec<Duration> =
///     (0..8).map(|_| schedule.next_retry_after(max_wait, now)).collect();
/// assert_eq!(waits[0], min_wait);
/// assert_eq!(waits[7], Duration::from_secs(2));
/// ```
#[derive(Clone, Debug)]
pub struct RetryAfterSchedule {
    min_wait: Duration,
    /// Times at which requests completed, within the window.
    completions: VecDeque<Instant>,
    /// Times of the retries scheduled so far that are still to come.
    scheduled: VecDeque<Instant>,
}

impl RetryAfterSchedule {
    /// Creates a schedule in which callers retry after `min_wait` at the earliest.
    #[must_use]
    pub fn new(min_wait: Duration) -> RetryAfterSchedule {
        RetryAfterSchedule {
            min_wait,
            completions: VecDeque::new(),
            scheduled: VecDeque::new(),
        }
    }

    /// A request has completed, which made room for another one.
    pub fn record_completion(&mut self, now: Instant) {
        self.remove_old(now);
        self.completions.push_back(now);
    }

    /// Schedules one more retry and returns the time until then, at most
    /// `max_wait`.
    pub fn next_retry_after(&mut self, max_wait: Duration, now: Instant) -> Duration {
        self.remove_old(now);
        let max_wait = max_wait.max(self.min_wait);
        let ahead = u32::try_from(self.scheduled.len()).unwrap_or(u32::MAX);
        let completed = u32::try_from(self.completions.len()).ok();
        let interval = completed.and_then(|completed| WINDOW.checked_div(completed));
        let wait = interval.map_or(max_wait, |interval| {
            interval.saturating_mul(ahead.saturating_add(1))
        });
        let wait = wait.clamp(self.min_wait, max_wait);
        self.scheduled.push_back(now + wait);
        wait
    }

    fn remove_old(&mut self, now: Instant) {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) >= WINDOW;
        while self.completions.front().is_some_and(is_old) {
            self.completions.pop_front();
        }
        self.scheduled.retain(|at| now < *at);
    }
}
