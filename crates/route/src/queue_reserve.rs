//! Slots that less urgent requests leave free for more urgent ones.

use std::time::{Duration, Instant};

use crate::{Priority, RequestQueue};

/// Share of the more urgent requests that may find no free slot in time: half of the 5% that
/// may be late. The other half is left to slow steps.
const MAX_LATE_SHARE: f64 = 0.025;
/// Most slots that are left free. With more, the slots of an entry would stand
/// idle when urgent requests alone exceed what it can start.
const MAX_RESERVE: u32 = 8;

impl RequestQueue {
    /// Number of slots that a request of this priority must leave free, so that
    /// more urgent ones still start within `slack`.
    ///
    /// A slot is free again only when a request ends, and an entry has too few
    /// slots for one to end in time whenever an urgent request arrives. The number
    /// of free slots is taken for a birth-death process: up with each request that
    /// ends, as fast as requests start, and down with each more urgent arrival.
    ///
    /// ```
    /// use route::{Priority, RequestQueue, RequestQueueSettings};
    /// use std::time::{Duration, Instant};
    ///
    /// let mut queue = RequestQueue::new(RequestQueueSettings::default());
    /// let (hint, review) = (Priority::default(), Priority { account: 0, route: 2 });
    /// let mut now = Instant::now();
    /// for _ in 0..20 {
    ///     queue.record_start(hint, 0, 1.0, now);
    ///     queue.record_start(review, 0, 1.0, now);
    ///     now += Duration::from_millis(100);
    /// }
    /// let slack = Duration::from_millis(100);
    /// assert!(queue.reserve(review, slack, now) > 0.0);
    /// assert!(queue.reserve(hint, slack, now) < 1e-9);
    /// ```
    #[must_use]
    pub fn reserve(&self, priority: Priority, slack: Duration, now: Instant) -> f64 {
        let arrivals = self.rates.urgent_arrival_rate(priority, now);
        let Some(starts) = self.rates.start_rate(now).filter(|_| arrivals > 0.0) else {
            return 0.0;
        };
        let ratio = arrivals / starts;
        if ratio >= 1.0 {
            return f64::from(MAX_RESERVE);
        }
        let is_late = (-(starts - arrivals) * slack.as_secs_f64()).exp();
        let suffices = |reserve: &u32| none_free(ratio, *reserve) * is_late <= MAX_LATE_SHARE;
        let reserve = (0..MAX_RESERVE).find(suffices).unwrap_or(MAX_RESERVE);
        f64::from(reserve)
    }

    /// Whether a request of this priority may use slots that are left free for more
    /// urgent ones, because the next start is due to less urgent requests.
    ///
    /// ```
    /// use route::{Priority, RequestQueue, RequestQueueSettings};
    ///
    /// let queue = RequestQueue::new(RequestQueueSettings::default());
    /// assert!(!queue.may_use_reserve(Priority::default(), std::time::Instant::now()));
    /// ```
    #[must_use]
    pub fn may_use_reserve(&self, priority: Priority, now: Instant) -> bool {
        self.background.is_due_to(priority, now)
    }
}

/// Probability that none of the `reserve` slots is free if they are taken at
/// `ratio` times the rate at which they become free.
fn none_free(ratio: f64, reserve: u32) -> f64 {
    let exponent = i32::try_from(reserve).unwrap_or(i32::MAX);
    let power = ratio.powi(exponent);
    power * (1.0 - ratio) / (1.0 - power * ratio)
}
