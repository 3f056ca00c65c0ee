//! The choice of a target for the first of the requests that wait in a queue.

use std::time::{Duration, Instant};

use rand::Rng;

use crate::TargetKey;
use crate::target_set::{Lateness, RequestTiming, TargetSet};

impl TargetSet {
    /// Like [`TargetSet::choose_within`], for the request that is first among those that
    /// wait. If it is late, it is accepted to any free slot all the same: the requests that
    /// slots would be kept for come after it.
    ///
    /// ```
    /// use rand::{SeedableRng, rngs::SmallRng};
    /// use route::{Locality, StepTimeModel, TargetSet, TargetSetSettings};
    /// use std::time::{Duration, Instant};
    ///
    /// let now = Instant::now();
    /// let step = StepTimeModel::new(Duration::from_millis(6), Duration::from_micros(400));
    /// let settings = TargetSetSettings { step_time: Some(step), ..TargetSetSettings::default() };
    /// let mut target_set = TargetSet::new(settings);
    /// let key = target_set.insert(2, Locality::SameZone);
    /// let mut rng = SmallRng::seed_from_u64(1);
    /// target_set.start(key, now);
    /// target_set.start(key, now);
    /// assert_eq!(target_set.choose_first(Duration::ZERO, &[], now, &mut rng), None);
    /// target_set.end(key, route::DispatchOutcome::Answered, now);
    /// assert_eq!(target_set.choose_first(Duration::ZERO, &[], now, &mut rng), Some(key));
    /// ```
    pub fn choose_first(
        &mut self,
        time_left: Duration,
        tried: &[TargetKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        let timing = self.timing_of_first(time_left, now);
        let avoided = self.avoided(tried, now);
        self.choose_timed(timing, &avoided, now, rng)
    }

    /// Whether [`TargetSet::choose_first`] would choose a target. Unlike that, it begins no
    /// probe.
    ///
    /// ```
    /// use rand::{SeedableRng, rngs::SmallRng};
    /// use route::{TargetSet, TargetSetSettings};
    /// use std::time::{Duration, Instant};
    ///
    /// let mut empty = TargetSet::new(TargetSetSettings::default());
    /// let mut rng = SmallRng::seed_from_u64(1);
    /// assert!(!empty.can_choose_first(Duration::MAX, &[], Instant::now(), &mut rng));
    /// ```
    pub fn can_choose_first(
        &mut self,
        time_left: Duration,
        tried: &[TargetKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> bool {
        let timing = self.timing_of_first(time_left, now);
        let avoided = self.avoided(tried, now);
        self.can_choose_timed(timing, &avoided, now, rng)
    }

    /// Number of free slots at the targets that this entry prefers, or at all if it has
    /// no preference. Of a target that several entries prefer, each has its share.
    ///
    /// ```
    /// use route::{Locality, TargetSet, TargetSetSettings};
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// let mut target_set = TargetSet::new(TargetSetSettings::default());
    /// let key = target_set.insert(6, Locality::SameZone);
    /// target_set.start(key, now);
    /// assert!((target_set.free_slots(now) - 5.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn free_slots(&self, now: Instant) -> f64 {
        let timing = self.timing(Duration::MAX, now);
        let has_subset = self.has_subset();
        let targets = self.targets.values().filter(|target| {
            target.is_available()
                && !target.is_ejected(now)
                && (target.is_preferred() || !has_subset)
        });
        targets
            .map(|target| target.free_slots(&timing, self.settings(), now))
            .sum()
    }

    fn timing_of_first(&self, time_left: Duration, now: Instant) -> RequestTiming {
        RequestTiming {
            lateness: Lateness::Ignored,
            ..self.timing(time_left, now)
        }
    }
}
