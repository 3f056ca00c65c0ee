//! When callers who are refused may come back.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time over which it is counted how many requests end.
const COUNTED: Duration = Duration::from_secs(2);

/// When callers who are refused may come back: once there is room for them, by
/// how many requests have ended lately and how many callers were told to come
/// back before.
///
/// It answers the burst that lasts longer than a fixed time to come back:
/// callers would find all targets full once more, and most don't come a third
/// time.
///
/// ```
/// use route::RetryAfterSchedule;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let (least, most) = (Duration::from_secs(1), Duration::from_secs(3));
/// let mut schedule = RetryAfterSchedule::new(least);
/// for _ in 0..8 {
///     schedule.record_completion(now);
/// }
/// // Four requests end in a second, so the first eight find room within two.
/// let told: Vec<Duration> = (0..8).map(|_| schedule.next_retry_after(most, now)).collect();
/// assert_eq!(told[0], least);
/// assert_eq!(told[7], Duration::from_secs(2));
/// ```
#[derive(Clone, Debug)]
pub struct RetryAfterSchedule {
    least: Duration,
    /// When requests have ended.
    ended: VecDeque<Instant>,
    /// When callers were told to come back.
    told: VecDeque<Instant>,
}

impl RetryAfterSchedule {
    /// Callers come back after `least` at the earliest.
    #[must_use]
    pub fn new(least: Duration) -> RetryAfterSchedule {
        RetryAfterSchedule {
            least,
            ended: VecDeque::new(),
            told: VecDeque::new(),
        }
    }

    /// A request has ended, and so there was room for another one.
    pub fn record_completion(&mut self, now: Instant) {
        self.forget(now);
        self.ended.push_back(now);
    }

    /// When one more caller may come back, after `most` at the latest.
    pub fn next_retry_after(&mut self, most: Duration, now: Instant) -> Duration {
        self.forget(now);
        let most = most.max(self.least);
        let before = u32::try_from(self.told.len()).unwrap_or(u32::MAX);
        let each = u32::try_from(self.ended.len()).ok();
        let each = each.and_then(|ended| COUNTED.checked_div(ended));
        let room = each.map_or(most, |each| each.saturating_mul(before.saturating_add(1)));
        let room = room.clamp(self.least, most);
        self.told.push_back(now + room);
        room
    }

    fn forget(&mut self, now: Instant) {
        let old = |at: &Instant| now.saturating_duration_since(*at) >= COUNTED;
        while self.ended.front().is_some_and(old) {
            self.ended.pop_front();
        }
        self.told.retain(|at| now < *at);
    }
}
