//! Keeping to the limit on requests that a target names.

use std::time::{Duration, Instant};

/// Share of the limit that the entries which use a target send together. The rest covers
/// entries that start or whose number is known late.
const USED_SHARE: f64 = 0.65;
/// Share of the limit that all entries send together, so that one of them notices soon
/// that the target no longer names it, whichever use the target.
const TRIAL_SHARE: f64 = 0.15;
/// Requests a second that a target gets even if it names a lower limit: only its answers
/// say that it is over.
const MIN_LIMIT: f64 = 0.1;

/// How the entries share a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetUse {
    /// All entries use it alike.
    Undivided,
    /// This entry prefers it, as one of this many.
    PreferredBy(u32),
    /// Other entries prefer it.
    NotPreferred,
}

/// Requests a second that one of `entries` entries may send to a target that names this
/// limit for all of them together.
///
/// ```
/// use route::{TargetUse, limit_share};
///
/// let share = limit_share(10.0, TargetUse::Undivided, 4);
/// assert!(share * 4.0 < 10.0);
/// let preferring = limit_share(10.0, TargetUse::PreferredBy(3), 231);
/// let others = limit_share(10.0, TargetUse::NotPreferred, 231);
/// assert!(preferring * 3.0 + others * 228.0 < 10.0);
/// ```
#[must_use]
pub fn limit_share(limit: f64, target_use: TargetUse, entries: u32) -> f64 {
    let limit = limit.max(MIN_LIMIT);
    let entries = f64::from(entries.max(1));
    let trial = limit * TRIAL_SHARE / entries;
    match target_use {
        TargetUse::Undivided => trial + limit * USED_SHARE / entries,
        TargetUse::PreferredBy(users) => trial + limit * USED_SHARE / f64::from(users.max(1)),
        TargetUse::NotPreferred => trial,
    }
}

/// Spaces the requests of an entry to a target that names a limit.
///
/// ```
/// use route::RequestLimit;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut limit = RequestLimit::default();
/// assert!(limit.admits(0.0, now));
/// limit.set(Some(1.3), now);
/// assert!(!limit.admits(0.5, now));
/// assert!(limit.admits(0.5, now + Duration::from_secs(2)));
/// limit.record_request(now + Duration::from_secs(2));
/// assert!(!limit.admits(0.5, now + Duration::from_secs(3)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RequestLimit {
    named: Option<Named>,
}

#[derive(Clone, Copy, Debug)]
struct Named {
    /// Requests a second of all entries together.
    per_second: f64,
    /// When this entry last sent a request, or learned of the limit.
    last: Instant,
}

impl RequestLimit {
    /// Sets the limit that the target names; `None` for none. `last` is when this entry
    /// counts as having sent a request if the limit is new.
    pub fn set(&mut self, per_second: Option<f64>, last: Instant) {
        let last = self.named.map_or(last, |named| named.last);
        self.named = per_second.map(|per_second| Named { per_second, last });
    }

    /// The limit that the target names.
    #[must_use]
    pub fn named(&self) -> Option<f64> {
        self.named.map(|named| named.per_second)
    }

    /// Whether an entry with a share of this many requests a second may send one now.
    #[must_use]
    pub fn admits(&self, share: f64, now: Instant) -> bool {
        self.named.is_none_or(|named| {
            let elapsed = now.saturating_duration_since(named.last);
            interval(share).is_some_and(|interval| elapsed >= interval)
        })
    }

    /// Records that a request is sent.
    pub fn record_request(&mut self, now: Instant) {
        if let Some(named) = &mut self.named {
            named.last = now;
        }
    }
}

/// When an entry that learns of a limit counts as having sent its last request, given a
/// random `phase` from 0 to 1: entries that learn of it together must not send together.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now() + Duration::from_secs(60);
/// assert_eq!(route::last_request(0.1, 0.0, now), now);
/// assert_eq!(route::last_request(0.1, 0.5, now), now - Duration::from_secs(5));
/// ```
#[must_use]
pub fn last_request(share: f64, phase: f64, now: Instant) -> Instant {
    let ago = interval(share).map(|interval| interval.mul_f64(phase));
    ago.and_then(|ago| now.checked_sub(ago)).unwrap_or(now)
}

/// Time between two requests; `None` if there are to be none.
fn interval(share: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(1.0 / share).ok()
}
