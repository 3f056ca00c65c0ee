//! Keeping the rest that a target asks for.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Longest rest that is kept. A target that asks for more is tried after that, and may ask
/// again.
const MAX_REST: Duration = Duration::from_mins(5);
/// Share of a rest by which it is extended at random, so that entries that were turned
/// away together do not come back together.
const SPREAD_SHARE: f64 = 0.1;

/// When a rest that is asked for now is over, given a random `phase` from 0 to 1.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let rest = Duration::from_secs(3);
/// assert_eq!(route::rest_end(rest, 0.0, now), now + rest);
/// assert!(route::rest_end(rest, 0.5, now) > now + rest);
/// assert!(route::rest_end(Duration::MAX, 0.5, now) < now + Duration::from_hours(1));
/// ```
#[must_use]
pub fn rest_end(rest: Duration, phase: f64, now: Instant) -> Instant {
    now + rest.min(MAX_REST).mul_f64(1.0 + SPREAD_SHARE * phase)
}

/// The rest that a target has asked of this entry.
///
/// When it is over, one request tries the target. Others follow once the target has
/// accepted that one.
///
/// ```
/// use route::Rest;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let until = now + Duration::from_secs(3);
/// let mut rest = Rest::default();
/// rest.extend(until);
/// assert!(!rest.admits(now));
/// assert!(rest.admits(until));
/// rest.record_request(until);
/// assert!(!rest.admits(until));
/// // A request that was sent before the rest says nothing about it.
/// rest.record_accepted(now);
/// assert!(!rest.admits(until));
/// rest.record_accepted(until);
/// assert!(rest.admits(until));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Rest {
    asked: Option<Asked>,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    until: Instant,
    trial: Trial,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trial {
    Due,
    Running,
}

impl Rest {
    /// Extends the rest until this time, unless it already lasts longer.
    pub fn extend(&mut self, until: Instant) {
        let previous = self.asked.map(|asked| asked.until);
        self.asked = Some(Asked {
            until: previous.map_or(until, |previous| previous.max(until)),
            trial: Trial::Due,
        });
    }

    /// Until when the target wants nothing, if it has not accepted a request since.
    #[must_use]
    pub fn until(&self) -> Option<Instant> {
        self.asked.map(|asked| asked.until)
    }

    /// Whether the target wants nothing now.
    #[must_use]
    pub fn is_active(&self, now: Instant) -> bool {
        self.asked.is_some_and(|asked| now < asked.until)
    }

    /// Whether the target may be sent a request now.
    #[must_use]
    pub fn admits(&self, now: Instant) -> bool {
        self.asked
            .is_none_or(|asked| now >= asked.until && asked.trial == Trial::Due)
    }

    /// Records that a request is sent.
    pub fn record_request(&mut self, now: Instant) {
        if let Some(asked) = &mut self.asked
            && now >= asked.until
        {
            asked.trial = Trial::Running;
        }
    }

    /// Records that the target has accepted a request that was sent at `sent`.
    pub fn record_accepted(&mut self, sent: Instant) {
        self.asked = self.asked.filter(|asked| sent < asked.until);
    }

    /// Records the end of a request that was sent at `sent`.
    pub fn record_end(&mut self, sent: Instant) {
        if let Some(asked) = &mut self.asked
            && sent >= asked.until
        {
            asked.trial = Trial::Due;
        }
    }
}

/// The rests that targets have asked of this entry, by target and incarnation. They hold
/// also while a target is not among those that may be chosen.
///
/// ```
/// use route::Rests;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let until = now + Duration::from_secs(3);
/// let mut rests = Rests::default();
/// rests.record("i-7f3a", 1, until);
/// assert_eq!(rests.until("i-7f3a", 1), Some(until));
/// // The target has started again since.
/// assert_eq!(rests.until("i-7f3a", 2), None);
/// rests.expire(until);
/// assert_eq!(rests.until("i-7f3a", 1), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Rests {
    by_target: BTreeMap<String, (u64, Instant)>,
}

impl Rests {
    /// Records until when an incarnation of a target wants nothing.
    pub fn record(&mut self, id: &str, started_ms: u64, until: Instant) {
        let known = self.until(id, started_ms);
        let until = known.map_or(until, |known| known.max(until));
        self.by_target.insert(id.to_owned(), (started_ms, until));
    }

    /// Until when an incarnation of a target wants nothing.
    #[must_use]
    pub fn until(&self, id: &str, started_ms: u64) -> Option<Instant> {
        let known = self.by_target.get(id);
        let of_incarnation = known.filter(|(known, _)| *known == started_ms);
        of_incarnation.map(|(_, until)| *until)
    }

    /// Forgets rests that are over.
    pub fn expire(&mut self, now: Instant) {
        self.by_target.retain(|_, (_, until)| now < *until);
    }
}
