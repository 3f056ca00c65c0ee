//! Limits on requests that targets name.

use std::collections::BTreeMap;
use std::time::Instant;

/// Relative difference up to which two limits count as equal.
const TOLERANCE: f64 = 0.1;

/// The limit on requests that an answer of a target names.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetLimit {
    /// Identifier of the target.
    pub id: String,
    /// Start time of the incarnation in Unix milliseconds.
    pub started_ms: u64,
    /// Requests a second that it takes from all entries together; `None` for no limit.
    pub per_second: Option<f64>,
}

/// Effect of an observed limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitEffect {
    /// Another limit is in force now, or none.
    Changed,
    /// It is the limit in force.
    Confirmed,
    /// None is named, and none was known.
    Unlimited,
    /// A later observation is known.
    Stale,
}

/// The limits that targets have named, by the latest observation of any entry.
///
/// ```
/// use member::{LimitEffect, TargetLimit, TargetLimits};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut limits = TargetLimits::default();
/// let limit = TargetLimit { id: "i-7f3a".into(), started_ms: 1, per_second: Some(1.3) };
/// assert_eq!(limits.record(limit.clone(), now), LimitEffect::Changed);
/// assert_eq!(limits.record(limit.clone(), now), LimitEffect::Confirmed);
/// assert_eq!(limits.of_target("i-7f3a", 1), Some(1.3));
/// // The target has started again since.
/// assert_eq!(limits.of_target("i-7f3a", 2), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct TargetLimits {
    observed: BTreeMap<String, Observed>,
}

#[derive(Clone, Debug)]
struct Observed {
    limit: TargetLimit,
    at: Instant,
}

impl TargetLimits {
    /// Records the limit, or that there is none, in an answer received at `at`.
    pub fn record(&mut self, limit: TargetLimit, at: Instant) -> LimitEffect {
        let Some(known) = self.observed.get_mut(&limit.id) else {
            if limit.per_second.is_none() {
                return LimitEffect::Unlimited;
            }
            self.observed
                .insert(limit.id.clone(), Observed { limit, at });
            return LimitEffect::Changed;
        };
        if (limit.started_ms, at) < (known.limit.started_ms, known.at) {
            return LimitEffect::Stale;
        }
        known.at = at;
        let effect = if is_same(&known.limit, &limit) {
            LimitEffect::Confirmed
        } else {
            LimitEffect::Changed
        };
        if effect == LimitEffect::Changed {
            known.limit = limit;
        }
        effect
    }

    /// The limit that an incarnation of a target names, in requests a second.
    #[must_use]
    pub fn of_target(&self, id: &str, started_ms: u64) -> Option<f64> {
        let known = self.observed.get(id).map(|known| &known.limit);
        known
            .filter(|limit| limit.started_ms == started_ms)
            .and_then(|limit| limit.per_second)
    }

    /// The limit of a target with the time of its last observation, also if it is over.
    ///
    /// ```
    /// assert!(member::TargetLimits::default().get("i-7f3a").is_none());
    /// ```
    #[must_use]
    pub fn get(&self, id: &str) -> Option<(&TargetLimit, Instant)> {
        self.observed.get(id).map(|known| (&known.limit, known.at))
    }

    /// All limits with the time of their last observation, also those that are over.
    ///
    /// ```
    /// assert_eq!(member::TargetLimits::default().iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = (&TargetLimit, Instant)> {
        self.observed.values().map(|known| (&known.limit, known.at))
    }

    /// Forgets the limits of targets that are not known any more.
    ///
    /// ```
    /// member::TargetLimits::default().retain(|id| id != "i-7f3a");
    /// ```
    pub fn retain(&mut self, mut is_known: impl FnMut(&str) -> bool) {
        self.observed.retain(|id, _| is_known(id));
    }
}

fn is_same(known: &TargetLimit, other: &TargetLimit) -> bool {
    let is_close = match (known.per_second, other.per_second) {
        (Some(a), Some(b)) => (a - b).abs() <= TOLERANCE * a,
        (a, b) => a == b,
    };
    is_close && known.started_ms == other.started_ms
}
