//! Time that callers have already waited before a request arrives.

use std::time::{Duration, Instant};

/// Period over which the longest timeout is tracked. It is remembered for one to
/// two periods.
const PERIOD: Duration = Duration::from_secs(10);

/// Estimates how long the callers of one route have already waited when their
/// request arrives.
///
/// Callers send their remaining timeout. A caller that was refused and retries
/// sends a shorter one than a caller on its first try, so the longest recent
/// timeout is taken for the initial one.
///
/// ```
/// use route::ElapsedWait;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut elapsed = ElapsedWait::new(now);
/// assert_eq!(elapsed.observe(Duration::from_secs(8), now), Duration::ZERO);
/// assert_eq!(elapsed.observe(Duration::from_secs(5), now), Duration::from_secs(3));
/// ```
#[derive(Clone, Debug)]
pub struct ElapsedWait {
    period_start: Instant,
    longest: Duration,
    /// The longest timeout of the previous period.
    previous_longest: Duration,
}

impl ElapsedWait {
    /// Creates an estimate without observations.
    #[must_use]
    pub fn new(now: Instant) -> ElapsedWait {
        ElapsedWait {
            period_start: now,
            longest: Duration::ZERO,
            previous_longest: Duration::ZERO,
        }
    }

    /// Returns how long a caller with a remaining timeout of `remaining` has already
    /// waited.
    pub fn observe(&mut self, remaining: Duration, now: Instant) -> Duration {
        if now.saturating_duration_since(self.period_start) >= PERIOD {
            self.previous_longest = std::mem::take(&mut self.longest);
            self.period_start = now;
        }
        self.longest = self.longest.max(remaining);
        self.longest
            .max(self.previous_longest)
            .saturating_sub(remaining)
    }
}
