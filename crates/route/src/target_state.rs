//! State of one target of a set.

use std::time::{Duration, Instant};

use crate::target_set::{
    DispatchOutcome, LoadEstimate, Locality, ReportedLoad, RequestTiming, TargetSetSettings,
};

/// Maximum age of pauses that are taken into account. Older ones do not predict the next
/// pauses, since the group has switched to another expert map by then.
const PAUSE_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Weight of the latest pause in the mean. A stream pauses about ten times per second,
/// so the mean follows within half a second.
const PAUSE_WEIGHT: f64 = 0.2;
/// Fraction of the slots that is used regardless of pauses. Refusing requests with half
/// of the slots free would be worse than late answers.
const MIN_USED_SHARE: f64 = 0.5;

/// Fraction of its remaining time that a request may wait for a slot; the rest is for
/// the prefill of its prompt.
const WAIT_SHARE: f64 = 0.5;
/// Fraction of the slots up to which requests are accepted that are already late.
/// Entries do not see what other entries send, so the last slots are rarely as free as
/// they seem.
const LATE_REQUEST_SHARE: f64 = 0.75;

/// Fraction of the slots by which requests may exceed the capacity of a slow target
/// before its streams are migrated. With a smaller excess they finish there, since a
/// migration repeats the prefill of the prompt.
const MAX_EXCESS_SHARE: f64 = 0.5;

/// Observed pauses of a target's streams.
#[derive(Clone, Copy, Debug)]
struct Pauses {
    mean: Duration,
    /// Longest pause that is on time.
    max: Duration,
    updated_at: Instant,
}

/// State of one target of a set.
#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    slots: f64,
    locality: Locality,
    /// Number of requests at which the target keeps up with the others.
    capacity: f64,
    pub(crate) accepting: bool,
    /// When another target answered at the address; cleared by the next announcement.
    replaced_at: Option<Instant>,
    /// Number of requests of this entry.
    pub(crate) own: u32,
    /// Number of requests of all other entries, according to the last report.
    others: u32,
    /// Number of requests of all entries according to the last report, and its time.
    last_report: Option<(u32, Instant)>,
    /// Until when the target is not probed after it declined with free slots.
    pub(crate) declining_until: Option<Instant>,
    pauses: Option<Pauses>,
    failures: u32,
    pub(crate) ejected_until: Option<Instant>,
}

impl TargetState {
    pub(crate) fn new(slots: u32, locality: Locality) -> TargetState {
        TargetState {
            slots: f64::from(slots.max(1)),
            locality,
            capacity: f64::from(slots.max(1)),
            accepting: true,
            replaced_at: None,
            own: 0,
            others: 0,
            last_report: None,
            declining_until: None,
            pauses: None,
            failures: 0,
            ejected_until: None,
        }
    }

    /// Whether the target may be given new requests.
    pub(crate) fn is_accepting(&self) -> bool {
        self.accepting && self.replaced_at.is_none()
    }

    /// Records that the target announced itself.
    pub(crate) fn record_announcement(&mut self, at: Instant) {
        self.replaced_at = self.replaced_at.filter(|replaced_at| at <= *replaced_at);
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    pub(crate) fn has_room(
        &self,
        timing: &RequestTiming,
        settings: &TargetSetSettings,
        now: Instant,
    ) -> bool {
        let starts_in_time = settings.step_time.is_none() || self.starts_in_time(timing);
        starts_in_time
            && self.has_slot(settings)
            && self.occupied() < self.timely_concurrency(settings, now)
    }

    /// Whether a request would get a slot in time. Requests that are already late yield
    /// to those that can be on time.
    fn starts_in_time(&self, timing: &RequestTiming) -> bool {
        if timing.time_left.is_zero() {
            return self.occupied() < self.capacity * LATE_REQUEST_SHARE;
        }
        let ahead = (self.occupied() + 1.0 - self.capacity).max(0.0);
        let wait = timing.mean_duration.as_secs_f64() * ahead / self.capacity;
        wait <= timing.time_left.as_secs_f64() * WAIT_SHARE
    }

    /// Whether a request could run or wait there, regardless of pauses.
    pub(crate) fn has_slot(&self, settings: &TargetSetSettings) -> bool {
        self.occupied() < self.capacity * (1.0 + settings.queue_per_slot)
    }

    /// Number of requests at which pauses of streams stay on time.
    fn timely_concurrency(&self, settings: &TargetSetSettings, now: Instant) -> f64 {
        let pauses = self
            .pauses
            .filter(|p| now.saturating_duration_since(p.updated_at) < PAUSE_MAX_AGE);
        let Some((step_time, pauses)) = settings.step_time.zip(pauses) else {
            return f64::INFINITY;
        };
        let concurrency = step_time.max_concurrency(self.occupied(), pauses.mean, pauses.max);
        concurrency.max(self.capacity * MIN_USED_SHARE)
    }

    /// Records a pause between two events of a stream.
    pub(crate) fn record_pause(&mut self, pause: Duration, max: Duration, now: Instant) {
        let mean = match self.pauses {
            Some(p) if now.saturating_duration_since(p.updated_at) < PAUSE_MAX_AGE => {
                p.mean.mul_f64(1.0 - PAUSE_WEIGHT) + pause.mul_f64(PAUSE_WEIGHT)
            }
            _ => pause,
        };
        self.pauses = Some(Pauses {
            mean,
            max,
            updated_at: now,
        });
    }

    /// Load of the target with one more request, as a fraction of its capacity. Includes the
    /// penalty for targets in other zones.
    pub(crate) fn cost(&self, settings: &TargetSetSettings) -> f64 {
        let penalty = match self.locality {
            Locality::SameZone => 0.0,
            Locality::OtherZone => settings.cross_zone_penalty,
        };
        (self.occupied() + 1.0 + penalty) / self.capacity
    }

    /// Sets the slowdown of the target relative to the fastest target.
    pub(crate) fn set_slowdown(&mut self, slowdown: f64, settings: &TargetSetSettings) {
        self.capacity = match settings.step_time {
            Some(step_time) => step_time.equivalent_concurrency(self.slots, slowdown),
            None => self.slots / slowdown,
        };
    }

    /// Whether the target is so slow that its streams should be migrated.
    pub(crate) fn should_migrate_streams(&self) -> bool {
        let excess = self.occupied().min(self.slots) - self.capacity;
        excess > self.slots * MAX_EXCESS_SHARE
    }

    fn reports_free_slots(&self) -> bool {
        self.last_report
            .is_some_and(|(total, _)| f64::from(total) < self.slots)
    }

    /// Whether the target may be given requests without a probe.
    pub(crate) fn is_available(&self) -> bool {
        self.is_accepting() && self.declining_until.is_none()
    }

    fn occupied(&self) -> f64 {
        f64::from(self.own + self.others)
    }

    pub(crate) fn report_load(&mut self, load: ReportedLoad, now: Instant) {
        let total = load.running.saturating_add(load.waiting);
        self.others = total.saturating_sub(self.own);
        self.last_report = Some((total, now));
    }

    pub(crate) fn load_estimate(&self, now: Instant) -> LoadEstimate {
        let age = |(_, at)| now.saturating_duration_since(at);
        LoadEstimate {
            own: self.own,
            others: self.others,
            age: self.last_report.map(age),
        }
    }

    pub(crate) fn record_outcome(
        &mut self,
        outcome: DispatchOutcome,
        now: Instant,
        settings: &TargetSetSettings,
    ) {
        match outcome {
            DispatchOutcome::Answered => {
                self.failures = 0;
                self.ejected_until = None;
                self.declining_until = None;
            }
            DispatchOutcome::Failed => {
                let period = settings.ejection * (1 << self.failures.min(8));
                self.failures += 1;
                self.ejected_until = Some(now + period.min(settings.ejection_max));
            }
            DispatchOutcome::Declined => {
                let until = Some(now + settings.decline_backoff);
                if self.reports_free_slots() {
                    self.declining_until = until;
                } else {
                    self.ejected_until = self.ejected_until.max(until);
                }
            }
            // The process of the target has ended. Further requests would each
            // spend an attempt on an address that declines all of them.
            DispatchOutcome::Replaced => self.replaced_at = Some(now),
            DispatchOutcome::Abandoned => {}
        }
    }
}
