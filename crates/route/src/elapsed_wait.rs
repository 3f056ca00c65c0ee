//! How much of their time callers have used before they come.

use std::time::{Duration, Instant};

/// How long the longest patience of callers is remembered, once or twice.
const REMEMBERED: Duration = Duration::from_secs(10);

/// How much of their time the callers of one route have used before they come.
///
/// Callers say how long they still wait. One that was refused and comes back
/// waits for less than one that comes for the first time, which is who has the
/// longest patience of all.
///
/// ```
/// use route::ElapsedWait;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut used = ElapsedWait::new(now);
/// assert_eq!(used.observe(Duration::from_secs(8), now), Duration::ZERO);
/// assert_eq!(used.observe(Duration::from_secs(5), now), Duration::from_secs(3));
/// ```
#[derive(Clone, Debug)]
pub struct ElapsedWait {
    since: Instant,
    longest: Duration,
    /// The longest of the time before.
    before: Duration,
}

impl ElapsedWait {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(now: Instant) -> ElapsedWait {
        ElapsedWait {
            since: now,
            longest: Duration::ZERO,
            before: Duration::ZERO,
        }
    }

    /// How much time a caller has used that waits for `patience` now.
    pub fn observe(&mut self, patience: Duration, now: Instant) -> Duration {
        if now.saturating_duration_since(self.since) >= REMEMBERED {
            self.before = std::mem::take(&mut self.longest);
            self.since = now;
        }
        self.longest = self.longest.max(patience);
        self.longest.max(self.before).saturating_sub(patience)
    }
}
