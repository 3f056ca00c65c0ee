//! The time of the durable state.

use std::time::Instant;

/// The time of the durable state, as one leader moves it on.
///
/// It goes on from the time of the last command, at the pace of the leader's
/// monotonic clock, and stands still while there is no leader. Wall time is
/// of no use here: a leader whose wall clock is a day ahead would make every
/// record of a non-repeatable call expire, and a resend would run it again.
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
    /// Goes on from a time.
    ///
    /// ```
    /// let now = std::time::Instant::now();
    /// assert_eq!(control::Clock::new(5_000, now).now_ms(now), 5_000);
    /// ```
    #[must_use]
    pub fn new(base_ms: u64, since: Instant) -> Clock {
        Clock { base_ms, since }
    }

    /// The time now, in milliseconds that the cluster has had a leader.
    ///
    /// ```
    /// let now = std::time::Instant::now();
    /// assert_eq!(control::Clock::new(0, now).now_ms(now), 0);
    /// ```
    #[must_use]
    pub fn now_ms(&self, now: Instant) -> u64 {
        let passed = now.saturating_duration_since(self.since).as_millis();
        let passed = u64::try_from(passed).unwrap_or(u64::MAX);
        self.base_ms.saturating_add(passed)
    }
}
