//! Whether a set has a target that serves requests.

use crate::target_set::PROBE_DURATION;
use crate::target_state::TargetState;
use crate::{TargetKey, TargetSet};
use std::borrow::Cow;
use std::time::Instant;

impl TargetSet {
    /// Whether no target serves requests, as far as is known: each declines them, has failed
    /// or takes none. A target that is probed serves them once it has not declined in time.
    ///
    /// ```
    /// use route::{DispatchOutcome, Locality, TargetSet, TargetSetSettings};
    /// use std::time::{Duration, Instant};
    ///
    /// let now = Instant::now();
    /// let mut target_set = TargetSet::new(TargetSetSettings::default());
    /// assert!(target_set.is_out(now));
    /// let key = target_set.insert(6, Locality::SameZone);
    /// assert!(!target_set.is_out(now));
    /// target_set.start(key, now);
    /// target_set.end(key, DispatchOutcome::Failed, now);
    /// assert!(target_set.is_out(now));
    /// ```
    #[must_use]
    pub fn is_out(&self, now: Instant) -> bool {
        let is_probe_over = |(_, since)| now >= since + PROBE_DURATION;
        let has_subset = self.has_subset();
        // The ranks of a group stall together; one without streams tells nothing then.
        let any_silent = self.targets.values().any(|target| target.is_silent(now));
        let serves = |(key, target): (TargetKey, &TargetState)| {
            let probed = self.probe.filter(|(probed, _)| *probed == key);
            let accepts = target.is_available() || probed.is_some_and(is_probe_over);
            let is_known = !has_subset || target.is_preferred() || target.is_load_known(now);
            is_known
                && accepts
                && target.is_accepting()
                && !target.is_ejected(now)
                && !target.is_silent(now)
                && (!any_silent || target.was_heard(now))
        };
        !self.targets.iter().any(serves)
    }

    /// Records that a target has accepted a request that was sent at `sent`: it serves
    /// requests, whatever it did before.
    ///
    /// ```
    /// use route::{DispatchOutcome, Locality, TargetSet, TargetSetSettings};
    /// use std::time::{Duration, Instant};
    ///
    /// let now = Instant::now();
    /// let mut target_set = TargetSet::new(TargetSetSettings::default());
    /// let key = target_set.insert(6, Locality::SameZone);
    /// target_set.start(key, now);
    /// target_set.end(key, DispatchOutcome::Failed, now);
    /// // It had accepted this one before it failed.
    /// target_set.record_serving(key, now);
    /// assert!(target_set.is_out(now));
    /// target_set.record_serving(key, now + Duration::from_millis(1));
    /// assert!(!target_set.is_out(now));
    /// ```
    pub fn record_serving(&mut self, key: TargetKey, sent: Instant) {
        if let Some(target) = self.targets.get_mut(key)
            && target.unable_at.is_none_or(|at| at < sent)
        {
            target.ejected_until = None;
            target.declining_until = None;
        }
    }

    /// Records that an outage of all targets has ended, as one of them has accepted a request
    /// that was sent at `sent`. What made the others unavailable before that is over: those
    /// of a group fail and return together.
    ///
    /// ```
    /// use route::{DispatchOutcome, Locality, TargetSet, TargetSetSettings};
    /// use std::time::{Duration, Instant};
    ///
    /// let now = Instant::now();
    /// let mut target_set = TargetSet::new(TargetSetSettings::default());
    /// let key = target_set.insert(6, Locality::SameZone);
    /// target_set.start(key, now);
    /// target_set.end(key, DispatchOutcome::Failed, now);
    /// target_set.record_return(now + Duration::from_millis(1));
    /// assert!(!target_set.is_out(now));
    /// ```
    pub fn record_return(&mut self, sent: Instant) {
        let failed_before = |target: &&mut TargetState| target.unable_at.is_none_or(|at| at < sent);
        for target in self.targets.values_mut().filter(failed_before) {
            target.failures = 0;
            target.ejected_until = None;
            target.declining_until = None;
        }
    }

    /// Whether a target declines requests although it has free slots.
    ///
    /// ```
    /// use route::{TargetSet, TargetSetSettings};
    ///
    /// assert!(!TargetSet::new(TargetSetSettings::default()).any_declines());
    /// ```
    #[must_use]
    pub fn any_declines(&self) -> bool {
        let mut targets = self.targets.values();
        targets.any(|target| target.is_accepting() && target.declining_until.is_some())
    }

    /// Targets that the first of the waiting requests is not given to. In an outage these
    /// are those that have failed, while others decline: an unresponsive rank of a group
    /// holds up what it is sent, and does not tell whether the group is back.
    pub(crate) fn avoided<'a>(&self, tried: &'a [TargetKey], now: Instant) -> Cow<'a, [TargetKey]> {
        if !self.any_declines() || !self.is_out(now) {
            return Cow::Borrowed(tried);
        }
        let ejected = self.targets.iter().filter(|(_, t)| t.is_ejected(now));
        let ejected = ejected.map(|(key, _)| key);
        Cow::Owned(tried.iter().copied().chain(ejected).collect())
    }
}
