//! Clock of the durable state.

use std::time::Instant;

/// Clock of the durable state, advanced by one leader.
///
/// It continues from the time of the last command at the rate of the leader's
/// monotonic clock, and stops while there is no leader. Wall-clock time is not
/// usable here: a leader whose wall clock is a day ahead would expire every
/// record of a non-repeatable call, and a resent call would run again.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let clock = control::Clock::new(5_000, now);
/// assert_eq!(clock.now_ms(now + Duration::from_secs(2)), 7_000);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base_ms: u64,
    since: Instant,
}

impl Clock {
    /// Creates a clock that reads `base_ms` milliseconds at `since`.
    ///
    /// ```
    /// let now = std::time::Instant::now();
    /// assert_eq!(control::Clock::new(5_000, now).now_ms(now), 5_000);
    /// ```
    #[must_use]
    pub fn new(base_ms: u64, since: Instant) -> Clock {
        Clock { base_ms, since }
    }

    /// Returns the time at `now`: the total time in milliseconds during which
    /// the cluster has had a leader.
    ///
    /// ```
    /// let now = std::time::Instant::now();
    /// assert_eq!(control::Clock::new(0, now).now_ms(now), 0);
    /// ```
    #[must_use]
    pub fn now_ms(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.since).as_millis();
        let elapsed_ms = u64::try_from(elapsed).unwrap_or(u64::MAX);
        self.base_ms.saturating_add(elapsed_ms)
    }
}
