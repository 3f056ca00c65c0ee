//! One target of a set.

use std::time::{Duration, Instant};

use crate::target_set::{
    DispatchOutcome, LoadEstimate, Locality, PlacementDemand, ReportedLoad, TargetSetSettings,
};

/// Pauses that are older than this say nothing about the next ones: by then
/// a group has switched to another expert map.
const PAUSES_LAST: Duration = Duration::from_millis(1_500);
/// Weight of the newest pause. A stream pauses some ten times a second, so
/// that the usual pause follows within half a second.
const WEIGHT: f64 = 0.2;
/// Part of the slots that is used whatever the pauses: to refuse with half of
/// them free would cost more than late answers do.
const LEAST_USED: f64 = 0.5;

/// Part of the time that a request has left to be on time that it may wait for
/// a slot; the rest is for its prompt to be read.
const WAIT_SHARE: f64 = 0.5;
/// Part of the slots up to which requests are let in that can't be on time any
/// more. Entries don't see what the others send, so the last slots are seldom
/// as free as they seem.
const LATE_USE: f64 = 0.75;

/// Part of the slots by which requests may exceed what a slow target carries.
/// Fewer are left to end there: to move a stream has its prompt read again.
const MOST_EXCESS: f64 = 0.5;

/// The pauses of a target's streams.
#[derive(Clone, Copy, Debug)]
struct Pauses {
    usual: Duration,
    most: Duration,
    at: Instant,
}

/// One target of a set.
#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    slots: f64,
    distance: Locality,
    /// Requests with which it keeps up with the others.
    capacity: f64,
    pub(crate) open: bool,
    /// When another target answered at its address, until it is heard of again.
    replaced: Option<Instant>,
    /// Requests of this entry.
    pub(crate) own: u32,
    /// Requests of all other entries, by the target's last word.
    others: u32,
    /// Requests of all entries, by its last word, and when that came.
    told: Option<(u32, Instant)>,
    /// Until when it isn't tried again after it declined with places free.
    pub(crate) unable_until: Option<Instant>,
    /// Usual pause of its streams, the longest that is on time, and when a
    /// stream last paused.
    pauses: Option<Pauses>,
    failures: u32,
    pub(crate) ejected_until: Option<Instant>,
}

impl TargetState {
    pub(crate) fn new(slots: u32, distance: Locality) -> TargetState {
        TargetState {
            slots: f64::from(slots.max(1)),
            distance,
            capacity: f64::from(slots.max(1)),
            open: true,
            replaced: None,
            own: 0,
            others: 0,
            told: None,
            unable_until: None,
            pauses: None,
            failures: 0,
            ejected_until: None,
        }
    }

    /// Whether it may be given new work.
    pub(crate) fn is_open(&self) -> bool {
        self.open && self.replaced.is_none()
    }

    /// It told of itself.
    pub(crate) fn heard(&mut self, at: Instant) {
        self.replaced = self.replaced.filter(|replaced| at <= *replaced);
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    pub(crate) fn has_room(
        &self,
        demand: &PlacementDemand,
        tuning: &TargetSetSettings,
        now: Instant,
    ) -> bool {
        let begins = tuning.step_time.is_none() || self.begins_in_time(demand);
        begins && self.has_slot(tuning) && self.occupied() < self.on_time(tuning, now)
    }

    /// Whether a request would begin in time. One that can't be on time any
    /// more yields to those that can.
    fn begins_in_time(&self, demand: &PlacementDemand) -> bool {
        if demand.left.is_zero() {
            return self.occupied() < self.capacity * LATE_USE;
        }
        let before = (self.occupied() + 1.0 - self.capacity).max(0.0);
        let wait = demand.runs.as_secs_f64() * before / self.capacity;
        wait <= demand.left.as_secs_f64() * WAIT_SHARE
    }

    /// Whether a request could run or wait there, however late its events.
    pub(crate) fn has_slot(&self, tuning: &TargetSetSettings) -> bool {
        self.occupied() < self.capacity * (1.0 + tuning.queue_per_slot)
    }

    /// Requests with which its streams don't pause for too long.
    fn on_time(&self, tuning: &TargetSetSettings, now: Instant) -> f64 {
        let pauses = self
            .pauses
            .filter(|p| now.saturating_duration_since(p.at) < PAUSES_LAST);
        let Some((pace, pauses)) = tuning.step_time.zip(pauses) else {
            return f64::INFINITY;
        };
        let fits = pace.max_concurrency(self.occupied(), pauses.usual, pauses.most);
        fits.max(self.capacity * LEAST_USED)
    }

    /// A stream paused for so long between two events.
    pub(crate) fn paused(&mut self, pause: Duration, most: Duration, now: Instant) {
        let usual = match self.pauses {
            Some(p) if now.saturating_duration_since(p.at) < PAUSES_LAST => {
                p.usual.mul_f64(1.0 - WEIGHT) + pause.mul_f64(WEIGHT)
            }
            _ => pause,
        };
        let at = now;
        self.pauses = Some(Pauses { usual, most, at });
    }

    /// Part of the slots that one request more would take.
    pub(crate) fn cost(&self, tuning: &TargetSetSettings) -> f64 {
        let far = match self.distance {
            Locality::SameZone => 0.0,
            Locality::OtherZone => tuning.cross_zone_penalty,
        };
        (self.occupied() + 1.0 + far) / self.capacity
    }

    /// It takes so many times longer for its work than the fastest target.
    pub(crate) fn set_slowdown(&mut self, slowdown: f64, tuning: &TargetSetSettings) {
        self.capacity = match tuning.step_time {
            Some(pace) => pace.equivalent_concurrency(self.slots, slowdown),
            None => self.slots / slowdown,
        };
    }

    /// Whether it is so slow that the requests which it has should go on
    /// elsewhere.
    pub(crate) fn sheds(&self) -> bool {
        let excess = self.occupied().min(self.slots) - self.capacity;
        excess > self.slots * MOST_EXCESS
    }

    fn tells_places_free(&self) -> bool {
        self.told
            .is_some_and(|(all, _)| f64::from(all) < self.slots)
    }

    /// Whether it may be given work like any other.
    pub(crate) fn is_available(&self) -> bool {
        self.is_open() && self.unable_until.is_none()
    }

    fn occupied(&self) -> f64 {
        f64::from(self.own + self.others)
    }

    pub(crate) fn take(&mut self, load: ReportedLoad, now: Instant) {
        let all = load.running.saturating_add(load.waiting);
        self.others = all.saturating_sub(self.own);
        self.told = Some((all, now));
    }

    pub(crate) fn seen(&self, now: Instant) -> LoadEstimate {
        let age = |(_, at)| now.saturating_duration_since(at);
        LoadEstimate {
            own: self.own,
            others: self.others,
            age: self.told.map(age),
        }
    }

    pub(crate) fn learn(
        &mut self,
        outcome: DispatchOutcome,
        now: Instant,
        tuning: &TargetSetSettings,
    ) {
        match outcome {
            DispatchOutcome::Answered => {
                self.failures = 0;
                self.ejected_until = None;
                self.unable_until = None;
            }
            DispatchOutcome::Failed => {
                let doubled = tuning.ejection * (1 << self.failures.min(8));
                self.failures += 1;
                self.ejected_until = Some(now + doubled.min(tuning.ejection_max));
            }
            DispatchOutcome::Declined => {
                let until = Some(now + tuning.decline_backoff);
                if self.tells_places_free() {
                    self.unable_until = until;
                } else {
                    self.ejected_until = self.ejected_until.max(until);
                }
            }
            // Its process has ended. Were more sent there, each request would
            // spend one of its tries on an address that declines them all.
            DispatchOutcome::Replaced => self.replaced = Some(now),
            DispatchOutcome::Abandoned => {}
        }
    }
}
