//! Targets of a set that ask for rest.

use crate::{TargetKey, TargetSet};
use std::time::{Duration, Instant};

impl TargetSet {
    /// Sends a target nothing until a time, at its request.
    ///
    /// ```
    /// use rand::{SeedableRng, rngs::SmallRng};
    /// use route::{Locality, TargetSet, TargetSetSettings};
    /// use std::time::{Duration, Instant};
    ///
    /// let (now, mut rng) = (Instant::now(), SmallRng::seed_from_u64(1));
    /// let mut targets = TargetSet::new(TargetSetSettings::default());
    /// let key = targets.insert(6, Locality::SameZone);
    /// let until = now + Duration::from_secs(3);
    /// targets.set_rest(key, until);
    /// assert_eq!(targets.choose(&[], now, &mut rng), None);
    /// assert_eq!(targets.choose(&[], until, &mut rng), Some(key));
    /// ```
    pub fn set_rest(&mut self, key: TargetKey, until: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            target.rest.extend(until);
            // Its load will be another one then.
            target.forget_load();
        }
    }

    /// Records that a target has accepted a request that was sent at `sent`.
    pub fn record_accepted(&mut self, key: TargetKey, sent: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            target.rest.record_accepted(sent);
        }
    }

    /// Records the end of a request that was sent at `sent`. If it tried a target after a
    /// rest and was not accepted, another one may.
    pub fn record_trial_end(&mut self, key: TargetKey, sent: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            target.rest.record_end(sent);
        }
    }

    /// Time until the first rest is over, if all targets that may be given requests rest.
    ///
    /// ```
    /// use route::{Locality, TargetSet, TargetSetSettings};
    /// use std::time::{Duration, Instant};
    ///
    /// let now = Instant::now();
    /// let rest = Duration::from_secs(3);
    /// let mut targets = TargetSet::new(TargetSetSettings::default());
    /// let key = targets.insert(6, Locality::SameZone);
    /// assert_eq!(targets.time_to_rest_end(now), None);
    /// targets.set_rest(key, now + rest);
    /// assert_eq!(targets.time_to_rest_end(now), Some(rest));
    /// ```
    #[must_use]
    pub fn time_to_rest_end(&self, now: Instant) -> Option<Duration> {
        let mut accepting = self.targets.values().filter(|t| t.is_accepting());
        if !accepting.all(|target| target.rest.is_active(now)) {
            return None;
        }
        let accepting = self.targets.values().filter(|t| t.is_accepting());
        let first_end = accepting.filter_map(|target| target.rest.until()).min()?;
        Some(first_end.saturating_duration_since(now))
    }
}
