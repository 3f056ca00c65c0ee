//! Targets that have said in an answer that they leave.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How long the word of a target holds. One that is still there by then is asked again.
const RETENTION: Duration = Duration::from_mins(10);

/// The targets that have said in an answer that they leave, by incarnation. They get no new
/// requests, whatever control knows of them.
///
/// ```
/// use route::Departures;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut departures = Departures::default();
/// departures.record("i-7f3a", 1, now);
/// assert!(departures.contains("i-7f3a", 1));
/// // The target has started again since.
/// assert!(!departures.contains("i-7f3a", 2));
/// departures.expire(now + Duration::from_hours(1));
/// assert!(!departures.contains("i-7f3a", 1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Departures {
    by_target: BTreeMap<String, (u64, Instant)>,
}

impl Departures {
    /// Records that an incarnation of a target leaves. Returns whether that is news.
    pub fn record(&mut self, id: &str, started_ms: u64, now: Instant) -> bool {
        let is_news = !self.contains(id, started_ms);
        self.by_target.insert(id.to_owned(), (started_ms, now));
        is_news
    }

    /// Whether an incarnation of a target leaves.
    #[must_use]
    pub fn contains(&self, id: &str, started_ms: u64) -> bool {
        let known = self.by_target.get(id);
        known.is_some_and(|(known, _)| *known == started_ms)
    }

    /// Forgets what was said long ago.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RETENTION;
        self.by_target.retain(|_, (_, at)| is_recent(*at));
    }
}
