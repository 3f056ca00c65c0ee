//! State of one target of a set.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::cold_start::{ColdLimit, ColdShare};
use crate::request_limit::RequestLimit;
use crate::rest::Rest;
use crate::target_set::{
    DispatchOutcome, Lateness, LoadEstimate, Locality, ReportedLoad, RequestTiming,
    TargetSetSettings,
};

/// Maximum age of pauses that are taken into account. Older ones do not predict the next
/// pauses, since the group has switched to another expert map by then.
const PAUSE_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Time without an event of any stream after which a target counts as silent. Switches of
/// expert maps and long prompts cause pauses of up to some 300 ms.
const MAX_SILENCE: Duration = Duration::from_millis(500);
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

/// Bound on the rounding error of a capacity, which is computed from step times: with four
/// slots it can be a little below four, and the last one would never be free.
const CAPACITY_ROUNDING: f64 = 1e-6;

/// Fraction of the slots by which requests may exceed the capacity of a slow target
/// before its streams are migrated. With a smaller excess they finish there, since a
/// migration repeats the prefill of the prompt.
const MAX_EXCESS_SHARE: f64 = 0.5;

/// Number of running requests that a waiting one counts as.
const WAITING_WEIGHT: u32 = 2;
/// How long free slots of a target that is not preferred are probably still free.
const REPORT_VALIDITY: Duration = Duration::from_secs(1);
/// Mean durations of a request after which a report of load says nothing any more.
const REPORT_DURATIONS: f64 = 2.0;

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
    pub(crate) leaving: bool,
    /// When another target answered at the address; cleared by the next announcement.
    replaced_at: Option<Instant>,
    /// Number of requests of this entry.
    pub(crate) own: u32,
    /// When the requests of this entry were sent, oldest first. Whichever of them ends,
    /// the first one is removed.
    starts: VecDeque<Instant>,
    /// Number of entries that prefer the target, including this one; `None` if this
    /// entry does not prefer it.
    preferred_by: Option<u32>,
    /// Number of requests of all other entries, according to the last report.
    others: u32,
    /// Number of requests of this entry at the time of the last report.
    own_at_report: u32,
    /// Number of requests of all entries according to the last report, and its time.
    last_report: Option<(u32, Instant)>,
    /// Until when the target is not probed after it declined with free slots.
    pub(crate) declining_until: Option<Instant>,
    pauses: Option<Pauses>,
    pub(crate) failures: u32,
    /// When the target last failed or declined.
    pub(crate) unable_at: Option<Instant>,
    pub(crate) ejected_until: Option<Instant>,
    cold: ColdLimit,
    pub(crate) limit: RequestLimit,
    pub(crate) rest: Rest,
}

impl TargetState {
    pub(crate) fn new(slots: u32, locality: Locality) -> TargetState {
        TargetState {
            slots: f64::from(slots.max(1)),
            locality,
            capacity: f64::from(slots.max(1)),
            accepting: true,
            leaving: false,
            replaced_at: None,
            own: 0,
            starts: VecDeque::new(),
            preferred_by: None,
            others: 0,
            own_at_report: 0,
            last_report: None,
            declining_until: None,
            pauses: None,
            failures: 0,
            unable_at: None,
            ejected_until: None,
            cold: ColdLimit::default(),
            limit: RequestLimit::default(),
            rest: Rest::default(),
        }
    }

    /// Whether the target may be given new requests.
    pub(crate) fn is_accepting(&self) -> bool {
        self.accepting && !self.leaving && self.replaced_at.is_none()
    }

    /// Sets until when the target is cold, and what this entry may send until then.
    pub(crate) fn set_cold(&mut self, until: Option<Instant>, share: ColdShare, now: Instant) {
        self.cold.set(until, share, now);
    }

    /// Whether the target bears one more request now, if it is cold.
    pub(crate) fn is_warm_enough(&self, now: Instant) -> bool {
        self.cold.admits(now)
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
        let occupied = self.occupied(timing, now);
        let starts_in_time =
            settings.step_time.is_none() || self.starts_in_time(occupied, timing, now);
        starts_in_time
            && occupied < self.max_occupied(timing, settings)
            && occupied < self.timely_concurrency(settings, occupied, now)
    }

    /// Whether a request would get a slot at once.
    pub(crate) fn has_free_slot(&self, timing: &RequestTiming, now: Instant) -> bool {
        self.occupied(timing, now) + 1.0 <= self.capacity
    }

    /// This entry's share of the slots that are free, and with which streams stay on time.
    pub(crate) fn free_slots(
        &self,
        timing: &RequestTiming,
        settings: &TargetSetSettings,
        now: Instant,
    ) -> f64 {
        let occupied = self.occupied(timing, now);
        let timely = self.timely_concurrency(settings, occupied, now);
        let free = (self.capacity.min(timely) - occupied).max(0.0);
        free / f64::from(self.preferred_by.unwrap_or(1).max(1))
    }

    /// Whether a request would get a slot in time. Requests that are already late yield
    /// to those that can be on time.
    fn starts_in_time(&self, occupied: f64, timing: &RequestTiming, now: Instant) -> bool {
        if timing.yields() {
            return occupied < self.capacity * LATE_REQUEST_SHARE;
        }
        if timing.time_left.is_zero() {
            return occupied + 1.0 <= self.capacity + CAPACITY_ROUNDING;
        }
        let ahead = (occupied + 1.0 - self.capacity).max(0.0);
        let max_wait = timing.time_left.as_secs_f64() * WAIT_SHARE;
        if ahead > 0.0 && self.is_preferred() {
            return self.oldest_ends_within(max_wait, timing, now);
        }
        let wait = timing.mean_duration.as_secs_f64() * ahead / self.capacity;
        wait <= max_wait
    }

    /// Whether the oldest request of this entry is about to end. Its slot is the only one
    /// that no other entry expects to use.
    fn oldest_ends_within(&self, seconds: f64, timing: &RequestTiming, now: Instant) -> bool {
        self.starts.front().is_some_and(|start| {
            let age = now.saturating_duration_since(*start);
            let left = timing.mean_duration.saturating_sub(age);
            left.as_secs_f64() <= seconds
        })
    }

    /// Whether a request could run or wait there, regardless of pauses.
    pub(crate) fn has_slot(
        &self,
        timing: &RequestTiming,
        settings: &TargetSetSettings,
        now: Instant,
    ) -> bool {
        self.occupied(timing, now) < self.max_occupied(timing, settings)
    }

    /// Requests that wait in the order of an entry's queue don't queue at the target as
    /// well, where more urgent ones could not overtake them.
    fn max_occupied(&self, timing: &RequestTiming, settings: &TargetSetSettings) -> f64 {
        match timing.lateness {
            Lateness::Yields => self.capacity * (1.0 + settings.queue_per_slot),
            Lateness::Ignored => self.capacity,
        }
    }

    /// Number of requests at which pauses of streams stay on time.
    fn timely_concurrency(&self, settings: &TargetSetSettings, occupied: f64, now: Instant) -> f64 {
        let pauses = self
            .pauses
            .filter(|p| now.saturating_duration_since(p.updated_at) < PAUSE_MAX_AGE);
        let Some((step_time, pauses)) = settings.step_time.zip(pauses) else {
            return f64::INFINITY;
        };
        let concurrency = step_time.max_concurrency(occupied, pauses.mean, pauses.max);
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
    pub(crate) fn cost(
        &self,
        timing: &RequestTiming,
        settings: &TargetSetSettings,
        now: Instant,
    ) -> f64 {
        let penalty = match self.locality {
            Locality::SameZone => 0.0,
            Locality::OtherZone => settings.cross_zone_penalty,
        };
        (self.occupied(timing, now) + 1.0 + penalty) / self.capacity
    }

    /// Sets the slowdown of the target relative to the fastest target.
    pub(crate) fn set_slowdown(&mut self, slowdown: f64, settings: &TargetSetSettings) {
        self.capacity = match settings.step_time {
            Some(step_time) => step_time.equivalent_concurrency(self.slots, slowdown),
            None => self.slots / slowdown,
        };
    }

    /// Whether the target is so slow that its streams should be migrated. One that
    /// cannot keep up with a single stream delays the whole group until it has none.
    pub(crate) fn should_migrate_streams(&self) -> bool {
        let excess = f64::from(self.own + self.others).min(self.slots) - self.capacity;
        self.capacity < 1.0 || excess > self.slots * MAX_EXCESS_SHARE
    }

    pub(crate) fn reports_free_slots(&self) -> bool {
        self.last_report
            .is_some_and(|(total, _)| f64::from(total) < self.slots)
    }

    /// Whether the streams of this entry at the target have all fallen silent. The ranks of
    /// a group stall together when one of them fails, long before they say so.
    pub(crate) fn is_silent(&self, now: Instant) -> bool {
        let since = self.pauses.map(|pauses| pauses.updated_at);
        since
            .zip(self.starts.front())
            .is_some_and(|(since, oldest)| {
                *oldest < since && now.saturating_duration_since(since) >= MAX_SILENCE
            })
    }

    /// Whether the target has begun a response or sent an event so recently that it has not
    /// stalled since.
    pub(crate) fn was_heard(&self, now: Instant) -> bool {
        let report = self.last_report.map(|(_, at)| at);
        let event = self.pauses.map(|pauses| pauses.updated_at);
        let latest = report.max(event);
        latest.is_some_and(|at| now.saturating_duration_since(at) < MAX_SILENCE)
    }

    /// Whether the target may be given requests without a probe.
    pub(crate) fn is_available(&self) -> bool {
        self.is_accepting() && self.declining_until.is_none()
    }

    /// Records that a request was sent.
    pub(crate) fn start(&mut self, now: Instant) {
        self.own += 1;
        self.cold.record_request(now);
        self.limit.record_request(now);
        self.rest.record_request(now);
        self.starts.push_back(now);
    }

    /// Records that a request has ended.
    pub(crate) fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
        self.starts.pop_front();
    }

    /// Sets the number of entries that prefer the target, including this one.
    pub(crate) fn prefer(&mut self, entries: Option<u32>) {
        self.preferred_by = entries;
    }

    pub(crate) fn preferred_by(&self) -> Option<u32> {
        self.preferred_by
    }

    pub(crate) fn is_preferred(&self) -> bool {
        self.preferred_by.is_some()
    }

    /// Whether the load of a target that is not preferred has been reported so recently
    /// that its free slots are probably still free.
    pub(crate) fn is_load_known(&self, now: Instant) -> bool {
        let age = |(_, at)| now.saturating_duration_since(at);
        self.last_report
            .is_some_and(|report| age(report) < REPORT_VALIDITY)
    }

    /// Estimated number of requests at the target.
    ///
    /// The other entries that prefer the target get the same kind of load as this one:
    /// what it has sent since the last report, they have probably sent too, and once the
    /// report is outdated, each of them probably has as many requests there as this
    /// entry has at its targets on average. If each entry counted only what has been
    /// reported, all of them would fill the same slots at the onset of a burst.
    fn occupied(&self, timing: &RequestTiming, now: Instant) -> f64 {
        let Some(entries) = self.preferred_by else {
            return f64::from(self.own) + self.estimated_others(timing, now);
        };
        let sharing = f64::from(entries.saturating_sub(1));
        let weight = self.report_weight(timing, now);
        let sent_since = f64::from(self.own.saturating_sub(self.own_at_report));
        let reported = f64::from(self.others) + sent_since * sharing;
        let assumed = timing.mean_own * sharing;
        f64::from(self.own) + weight * reported + (1.0 - weight) * assumed
    }

    /// Estimated number of requests of all other entries at a target that this one does not
    /// prefer. The target may have reported a peak in its last answer to this entry: if that
    /// kept it from being chosen, no answer would ever tell that it is over.
    fn estimated_others(&self, timing: &RequestTiming, now: Instant) -> f64 {
        let others = f64::from(self.others);
        match self.reported_others(timing.mean_duration, now) {
            None if self.last_report.is_some() => others.min(timing.mean_others),
            Some(_) | None => others,
        }
    }

    /// Number of requests of all other entries, if it was reported so recently that they
    /// are probably still there.
    pub(crate) fn reported_others(&self, mean_duration: Duration, now: Instant) -> Option<u32> {
        let (_, at) = self.last_report?;
        let validity = mean_duration.mul_f64(REPORT_DURATIONS).max(REPORT_VALIDITY);
        (now.saturating_duration_since(at) < validity).then_some(self.others)
    }

    /// How much the last report still says, from 1 to 0. The requests that it counts
    /// have ended after their mean duration.
    fn report_weight(&self, timing: &RequestTiming, now: Instant) -> f64 {
        let Some((_, at)) = self.last_report else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let validity = REPORT_DURATIONS * timing.mean_duration.as_secs_f64();
        (1.0 - age / validity.max(f64::MIN_POSITIVE)).max(0.0)
    }

    pub(crate) fn report_load(&mut self, load: ReportedLoad, now: Instant) {
        // Waiting requests show that the entries together send more than the target can
        // run; counted once, each entry would at once replace its own that end.
        let waiting = load.waiting.saturating_mul(WAITING_WEIGHT);
        let total = load.running.saturating_add(waiting);
        self.others = total.saturating_sub(self.own);
        self.own_at_report = self.own;
        self.last_report = Some((total, now));
    }

    /// Forgets the last report of load.
    pub(crate) fn forget_load(&mut self) {
        self.others = 0;
        self.own_at_report = self.own;
        self.last_report = None;
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
        if matches!(outcome, DispatchOutcome::Failed | DispatchOutcome::Declined) {
            self.unable_at = Some(now);
        }
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
            // The target has said itself when it may be tried again.
            DispatchOutcome::Declined if self.rest.is_active(now) => {}
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
