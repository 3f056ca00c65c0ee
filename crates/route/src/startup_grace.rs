//! Waiting while no target is available.

use std::time::{Duration, Instant};

/// Bounds how long requests wait while an entry has no route table yet, or no
/// target of the service is available.
///
/// After all processes have failed at once, entries restart sooner than control
/// replicas and targets, while all callers with interrupted answers retry
/// immediately. Callers that are refused retry at most once more, so refusing
/// them would lose many requests although targets return within a second. An
/// outage longer than the grace period is not a start: callers are then refused
/// immediately, with a time to retry.
///
/// ```
/// use route::StartupGrace;
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let deadline = start + Duration::from_secs(8);
/// let until = StartupGrace::default().wait_until(start, deadline, start);
/// assert!(until.is_some_and(|until| until < deadline));
/// let later = start + Duration::from_secs(5);
/// assert_eq!(StartupGrace::default().wait_until(start, deadline, later), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartupGrace {
    /// Time from the start of the outage during which requests wait. Targets
    /// announce themselves about every 1.2 s, and control replicas are up about
    /// 0.5 s after entries.
    pub period: Duration,
    /// Fraction of the time until its deadline that a request may wait; the rest
    /// is left for its answer.
    pub wait_share: f64,
}

impl Default for StartupGrace {
    fn default() -> Self {
        StartupGrace {
            period: Duration::from_millis(1_300),
            wait_share: 1.0 / 3.0,
        }
    }
}

impl StartupGrace {
    /// Returns until when a request that arrives at `now` may wait, or `None` if
    /// it is refused immediately. The outage began at `since`.
    #[must_use]
    pub fn wait_until(&self, since: Instant, deadline: Instant, now: Instant) -> Option<Instant> {
        let period_end = since + self.period;
        let remaining = deadline.saturating_duration_since(now);
        let until = period_end.min(now + remaining.mul_f64(self.wait_share));
        (until > now).then_some(until)
    }
}
