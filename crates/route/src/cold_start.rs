//! Limits on requests to targets that have just started.

use std::time::{Duration, Instant};

/// Tolerated requests a second for each entry that sends to a cold target. Each sender
/// may be ahead of its rate by one request.
const REQUESTS_PER_SENDER: f64 = 10.0;
/// Share of the tolerated rate that the senders use together. With this rate and their
/// number, two sets of senders at once exceed the tolerated rate by half at most: entries
/// that are cut off from control may know others than the rest.
const USED_SHARE: f64 = 0.65;

/// An entry's share of the requests that a cold target bears.
///
/// A cold target crashes if all entries together send too much. Entries cannot count what
/// others send, and a share for each of a hundred would be less than one request a
/// second. So only a few entries of its zone send to it, each at a fixed rate.
///
/// ```
/// use route::ColdShare;
///
/// let share = ColdShare::new(40.0, 0, 47);
/// assert_eq!(share.requests_per_second(), 6.5);
/// let not_a_sender = ColdShare::new(40.0, 4, 47);
/// assert_eq!(not_a_sender.requests_per_second(), 0.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdShare {
    requests_per_second: f64,
}

impl ColdShare {
    /// An entry that sends nothing to the target.
    pub const NONE: ColdShare = ColdShare {
        requests_per_second: 0.0,
    };

    /// The share of the entry at position `rank` among the `entries` entries of the zone,
    /// in an order of this target's own, of the tolerated requests a second.
    #[must_use]
    pub fn new(tolerated: f64, rank: usize, entries: usize) -> ColdShare {
        let senders = senders(tolerated).min(entries);
        if rank >= senders {
            return ColdShare::NONE;
        }
        ColdShare {
            requests_per_second: tolerated * USED_SHARE / as_f64(senders),
        }
    }

    /// Requests a second that the entry may send to the target.
    ///
    /// ```
    /// assert_eq!(route::ColdShare::NONE.requests_per_second(), 0.0);
    /// ```
    #[must_use]
    pub fn requests_per_second(self) -> f64 {
        self.requests_per_second
    }
}

/// Number of entries that send to a target that tolerates this many requests a second.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates"
)]
fn senders(tolerated: f64) -> usize {
    ((tolerated / REQUESTS_PER_SENDER) as usize).max(1)
}

#[allow(clippy::cast_precision_loss, reason = "far below 2^52")]
fn as_f64(count: usize) -> f64 {
    count as f64
}

/// Limits what an entry sends to a target while it is cold.
///
/// ```
/// use route::{ColdLimit, ColdShare};
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut limit = ColdLimit::default();
/// limit.set(Some(now + Duration::from_secs(3)), ColdShare::new(10.0, 0, 1), now);
/// assert!(limit.admits(now));
/// limit.record_request(now);
/// assert!(!limit.admits(now));
/// assert!(limit.admits(now + Duration::from_millis(200)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ColdLimit {
    cold: Option<Cold>,
}

#[derive(Clone, Debug)]
struct Cold {
    until: Instant,
    share: ColdShare,
    /// When the next request may be sent; `None` if there is no share.
    next: Option<Instant>,
}

impl ColdLimit {
    /// Sets until when the target is cold, and the entry's share until then.
    pub fn set(&mut self, until: Option<Instant>, share: ColdShare, now: Instant) {
        let Some(until) = until.filter(|until| now < *until) else {
            self.cold = None;
            return;
        };
        let known = self.cold.take().filter(|cold| cold.share == share);
        let next = match known {
            Some(cold) => cold.next,
            None => share.interval().map(|_| now),
        };
        self.cold = Some(Cold { until, share, next });
    }

    /// Whether a request may be sent now.
    #[must_use]
    pub fn admits(&self, now: Instant) -> bool {
        let Some(cold) = self.cold.as_ref().filter(|cold| now < cold.until) else {
            return true;
        };
        cold.next.is_some_and(|next| next <= now)
    }

    /// Records that a request is sent.
    pub fn record_request(&mut self, now: Instant) {
        if let Some(cold) = &mut self.cold
            && let Some(interval) = cold.share.interval()
        {
            cold.next = Some(cold.next.map_or(now, |next| next.max(now)) + interval);
        }
    }
}

impl ColdShare {
    /// Time between two requests; `None` if none may be sent.
    fn interval(self) -> Option<Duration> {
        let seconds = 1.0 / self.requests_per_second;
        Duration::try_from_secs_f64(seconds).ok()
    }
}
