//! Mean step time of a group.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time over which steps are averaged, about six steps: over fewer, whether
/// one more step has begun would change the result too much.
const AVERAGING_SPAN: Duration = Duration::from_millis(500);

/// Measures the mean step time of a group from the newest step that its ranks
/// report.
///
/// ```
/// use expert::StepTimer;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut timer = StepTimer::default();
/// assert_eq!(timer.observe(10, now), None);
/// let time = timer.observe(20, now + Duration::from_millis(600));
/// assert_eq!(time, Some(Duration::from_millis(60)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct StepTimer {
    samples: VecDeque<(Instant, u64)>,
}

impl StepTimer {
    /// Records the newest step that has begun, and returns the mean step time
    /// over the last half second or more. If no step has begun in between, the
    /// current one takes at least that long. `None` after a shorter time.
    ///
    /// ```
    /// use expert::StepTimer;
    /// use std::time::{Duration, Instant};
    ///
    /// let now = Instant::now();
    /// let mut timer = StepTimer::default();
    /// timer.observe(10, now);
    /// let slow = timer.observe(10, now + Duration::from_millis(700));
    /// assert_eq!(slow, Some(Duration::from_millis(700)));
    /// ```
    pub fn observe(&mut self, step: u64, now: Instant) -> Option<Duration> {
        if self.samples.back().is_some_and(|(_, last)| *last > step) {
            // A lower step number means that the group has formed again.
            self.samples.clear();
        }
        self.samples.push_back((now, step));
        let is_old =
            |(at, _): &(Instant, u64)| now.saturating_duration_since(*at) >= AVERAGING_SPAN;
        while self.samples.get(1).is_some_and(is_old) {
            self.samples.pop_front();
        }
        let (at, from) = *self.samples.front()?;
        let span = now.saturating_duration_since(at);
        match u32::try_from(step - from).ok()? {
            0 => (span >= AVERAGING_SPAN).then_some(span),
            steps => Some(span / steps),
        }
    }
}
