//! Targets of a set that take a limited number of requests.

use crate::request_limit::{TargetUse, last_request, limit_share};
use crate::target_state::TargetState;
use crate::{TargetKey, TargetSet};
use rand::{Rng, RngExt};
use std::time::Instant;

impl TargetSet {
    /// Sets the number of entries that share the targets, if it is known.
    pub fn set_entries(&mut self, entries: Option<u32>) {
        self.entries = entries;
    }

    /// Sets the number of requests a second that a target takes from all entries together;
    /// `None` if it names no limit.
    ///
    /// ```
    /// use rand::{SeedableRng, rngs::SmallRng};
    /// use route::{Locality, TargetSet, TargetSetSettings};
    /// use std::time::Instant;
    ///
    /// let (now, mut rng) = (Instant::now(), SmallRng::seed_from_u64(1));
    /// let mut targets = TargetSet::new(TargetSetSettings::default());
    /// let key = targets.insert(6, Locality::SameZone);
    /// targets.set_limit(key, Some(1.3), now, &mut rng);
    /// // How many entries share the limit is not known yet.
    /// assert_eq!(targets.choose(&[], now, &mut rng), None);
    /// targets.set_limit(key, None, now, &mut rng);
    /// assert_eq!(targets.choose(&[], now, &mut rng), Some(key));
    /// ```
    pub fn set_limit(
        &mut self,
        key: TargetKey,
        per_second: Option<f64>,
        now: Instant,
        rng: &mut impl Rng,
    ) {
        let Some(target) = self.targets.get(key) else {
            return;
        };
        let share = per_second.map_or(0.0, |limit| self.share(target, limit));
        let last = last_request(share, rng.random(), now);
        if let Some(target) = self.targets.get_mut(key) {
            target.limit.set(per_second, last);
        }
    }

    /// Whether a target takes one more request of this entry now: one that is cold, names
    /// a limit or rests may have had enough.
    pub(crate) fn takes_more(&self, target: &TargetState, now: Instant) -> bool {
        let within_limit = target
            .limit
            .named()
            .is_none_or(|limit| target.limit.admits(self.share(target, limit), now));
        within_limit && target.is_warm_enough(now) && target.rest.admits(now)
    }

    /// Whether all targets that this entry prefers name limits or rest, and have had enough.
    /// It then chooses among the others as if it preferred none.
    pub(crate) fn preferred_have_enough(&self, now: Instant) -> bool {
        let mut preferred = self.targets.values().filter(|target| target.is_preferred());
        preferred.all(|target| {
            let wants_less = target.limit.named().is_some() || target.rest.until().is_some();
            wants_less && !self.takes_more(target, now)
        })
    }

    /// Requests a second that this entry may send to a target with this limit; 0 while the
    /// number of entries is unknown.
    fn share(&self, target: &TargetState, limit: f64) -> f64 {
        let target_use = match target.preferred_by() {
            Some(entries) => TargetUse::PreferredBy(entries),
            None if self.has_subset() => TargetUse::NotPreferred,
            None => TargetUse::Undivided,
        };
        self.entries
            .map_or(0.0, |entries| limit_share(limit, target_use, entries))
    }
}
