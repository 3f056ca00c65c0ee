//! How long the steps of a group take.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time over which steps are averaged: some six of them, as one more or less
/// that was begun in time would make too much of a difference in fewer.
const SPAN: Duration = Duration::from_millis(500);

/// How long the steps of a group take, by the last step that ranks told of.
///
/// ```
/// use expert::StepTimer;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut clock = StepTimer::default();
/// assert_eq!(clock.observe(10, now), None);
/// let time = clock.observe(20, now + Duration::from_millis(600));
/// assert_eq!(time, Some(Duration::from_millis(60)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct StepTimer {
    seen: VecDeque<(Instant, u64)>,
}

impl StepTimer {
    /// Takes in the last step that was begun; the usual time of a step for half
    /// a second or more, if that is known.
    pub fn observe(&mut self, step: u64, now: Instant) -> Option<Duration> {
        if self.seen.back().is_some_and(|(_, last)| *last > step) {
            // The group was formed anew.
            self.seen.clear();
        }
        self.seen.push_back((now, step));
        let old = |(at, _): &(Instant, u64)| now.saturating_duration_since(*at) >= SPAN;
        while self.seen.get(1).is_some_and(old) {
            self.seen.pop_front();
        }
        let (at, from) = *self.seen.front()?;
        let steps = u32::try_from(step - from).ok()?;
        now.saturating_duration_since(at).checked_div(steps)
    }
}
