//! How long a request waits while nothing takes it.

use std::time::{Duration, Instant};

/// How long a request waits while its entry knows no route table yet, or no
/// target of its service takes work.
///
/// It answers the load that follows a loss of all processes: entries are back
/// before control and targets are, and all callers whose answers were cut off
/// come back at once. Refused, they come back once more at the most, and many
/// are lost though targets are there within a second. What lasts longer is no
/// start, and callers are told at once when to come back.
///
/// ```
/// use route::StartupGrace;
/// use std::time::{Duration, Instant};
///
/// let began = Instant::now();
/// let deadline = began + Duration::from_secs(8);
/// let until = StartupGrace::default().wait_until(began, deadline, began);
/// assert!(until.is_some_and(|until| until < deadline));
/// let later = began + Duration::from_secs(5);
/// assert_eq!(StartupGrace::default().wait_until(began, deadline, later), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartupGrace {
    /// Longest absence during which requests wait. Targets tell of themselves
    /// every 1.2 s or so, and replicas of control are up half a second after
    /// entries.
    pub period: Duration,
    /// Part of the time that a request has left that it may wait; the rest is
    /// for its answer.
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
    /// When a request that comes `now` stops waiting; none if it is refused at
    /// once. The absence began at `since`.
    #[must_use]
    pub fn wait_until(&self, since: Instant, deadline: Instant, now: Instant) -> Option<Instant> {
        let over = since + self.period;
        let left = deadline.saturating_duration_since(now);
        let until = over.min(now + left.mul_f64(self.wait_share));
        (until > now).then_some(until)
    }
}
