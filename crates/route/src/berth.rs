//! One target of a fleet.

use std::time::Instant;

use crate::fleet::{Distance, FleetTuning, Outcome, ToldLoad};

/// One target of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct Berth {
    slots: f64,
    distance: Distance,
    pub(crate) open: bool,
    /// Requests of this entry.
    pub(crate) own: u32,
    /// Requests of all other entries, by the target's last word.
    others: u32,
    failures: u32,
    pub(crate) shunned_until: Option<Instant>,
}

impl Berth {
    pub(crate) fn new(slots: u32, distance: Distance) -> Berth {
        Berth {
            slots: f64::from(slots.max(1)),
            distance,
            open: true,
            own: 0,
            others: 0,
            failures: 0,
            shunned_until: None,
        }
    }

    pub(crate) fn is_shunned(&self, now: Instant) -> bool {
        self.shunned_until.is_some_and(|until| now < until)
    }

    pub(crate) fn has_room(&self, tuning: &FleetTuning) -> bool {
        self.occupied() < self.slots * (1.0 + tuning.waiting)
    }

    /// Part of the slots that one request more would take.
    pub(crate) fn cost(&self, tuning: &FleetTuning) -> f64 {
        let far = match self.distance {
            Distance::Near => 0.0,
            Distance::Far => tuning.far,
        };
        (self.occupied() + 1.0 + far) / self.slots
    }

    fn occupied(&self) -> f64 {
        f64::from(self.own + self.others)
    }

    pub(crate) fn take(&mut self, load: ToldLoad) {
        let all = load.running.saturating_add(load.waiting);
        self.others = all.saturating_sub(self.own);
    }

    pub(crate) fn learn(&mut self, outcome: Outcome, now: Instant, tuning: &FleetTuning) {
        match outcome {
            Outcome::Answered => {
                self.failures = 0;
                self.shunned_until = None;
            }
            Outcome::Failed => {
                let doubled = tuning.shun * (1 << self.failures.min(8));
                self.failures += 1;
                self.shunned_until = Some(now + doubled.min(tuning.shun_most));
            }
            Outcome::Declined | Outcome::Abandoned => {}
        }
    }
}
