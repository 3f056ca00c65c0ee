//! Outages of the targets of one service.

use crate::service_targets::ServiceTargets;
use route::TargetKey;
use std::time::{Duration, Instant};

impl ServiceTargets {
    /// Records whether any target serves requests.
    pub(crate) fn observe_outage(&mut self, now: Instant) {
        if let Some(outage) = &mut self.outage {
            outage.observe(self.set.is_out(now), now);
        }
    }

    /// Predicted time until the end of the outage; none without one, or if requests of the
    /// service all have the same priority.
    pub(crate) fn outage_left(&self, now: Instant) -> Option<Duration> {
        self.outage.as_ref()?.remaining(now)
    }

    /// Whether a request may be sent to a target, if one has room. In an outage, single
    /// requests try whether targets are back; just after it, starts are limited.
    pub(crate) fn may_start(&mut self, now: Instant) -> bool {
        self.observe_outage(now);
        let Some(outage) = &self.outage else {
            return true;
        };
        if outage.remaining(now).is_none() {
            return outage.admits(now);
        }
        outage.may_probe(now)
    }

    /// Records that a target has accepted a request that was sent at `sent`, and whether it
    /// has reported its load.
    pub(crate) fn record_serving(
        &mut self,
        key: TargetKey,
        sent: Instant,
        has_load: bool,
        now: Instant,
    ) {
        if let Some(outage) = &mut self.outage {
            outage.record_accepted(has_load, now);
            self.set.record_serving(key, sent);
            if outage.remaining(now).is_some() {
                self.set.record_return(sent);
            }
            self.observe_outage(now);
        }
    }
}
