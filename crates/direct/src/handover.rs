//! Hands free slots of a service to the requests that wait for them.

use crate::service_targets::{Endpoint, ServiceTargets};
use crate::waiting::{Admission, SlotRefusal, SlotRequest};
use rand::Rng;
use route::{LoadEstimate, Priority, QueueKey, TargetKey};
use std::time::Instant;
use tokio::sync::oneshot;

/// A slot that was taken for a request.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) key: TargetKey,
    pub(crate) endpoint: Endpoint,
    pub(crate) load: Option<LoadEstimate>,
}

/// What a waiting request must be told.
#[derive(Debug)]
pub(crate) struct Handover {
    pub(crate) tx: oneshot::Sender<Admission>,
    pub(crate) outcome: Result<Slot, SlotRefusal>,
}

impl ServiceTargets {
    /// Takes a slot for the request that is first in the order of priorities.
    pub(crate) fn take_slot(
        &mut self,
        request: &SlotRequest,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Slot> {
        if !self.may_start(now) || !self.may_take_slot(request.priority, now) {
            return None;
        }
        let left = request.time_to_objective(now);
        let key = self.set.choose_first(left, &request.tried, now, rng)?;
        let (endpoint, load) = self.start_request(key, now)?;
        Some(Slot {
            key,
            endpoint,
            load,
        })
    }

    /// Whether more slots are free than those that a request of this priority leaves to
    /// more urgent ones.
    fn may_take_slot(&self, priority: Priority, now: Instant) -> bool {
        let Some(waiting) = &self.waiting else {
            return true;
        };
        let reserve = waiting.reserve(priority, now);
        reserve <= 0.0
            || waiting.queue.may_use_reserve(priority, now)
            || self.set.free_slots(now) > reserve
    }

    /// Takes free slots for waiting requests in the order of the queue, and those that are
    /// refused out of it.
    pub(crate) fn hand_over(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Handover> {
        let has_available = self.outage_left(now).is_none();
        let Some(waiting) = &mut self.waiting else {
            return Vec::new();
        };
        let refused = waiting.take_unservable(now).into_iter();
        let mut handovers: Vec<Handover> = refused
            .map(|(waiter, refusal)| Handover {
                tx: waiter.tx,
                outcome: Err(SlotRefusal::new(refusal, has_available)),
            })
            .collect();
        while let Some(handover) = self.start_next(now, rng) {
            handovers.push(handover);
        }
        handovers
    }

    /// Takes a slot for the first waiting request that can have one.
    fn start_next(&mut self, now: Instant, rng: &mut impl Rng) -> Option<Handover> {
        if !self.may_start(now) {
            return None;
        }
        let (waiting, target) = self.choose_next(now, rng)?;
        let (endpoint, load) = self.start_request(target, now)?;
        let waiter = self.waiting.as_mut()?.start(waiting, now)?;
        Some(Handover {
            tx: waiter.tx,
            outcome: Ok(Slot {
                key: target,
                endpoint,
                load,
            }),
        })
    }

    /// The first waiting request that can have a slot, and its target. One that was sent to
    /// the only targets with room is passed over.
    fn choose_next(&mut self, now: Instant, rng: &mut impl Rng) -> Option<(QueueKey, TargetKey)> {
        let waiting = self.waiting.as_ref()?;
        for key in waiting.queue.iter(now) {
            let Some(waiter) = waiting.waiter(key) else {
                continue;
            };
            if !self.may_take_slot(waiter.request.priority, now) {
                return None;
            }
            let left = waiter.request.time_to_objective(now);
            let tried = waiter.tried(now);
            if let Some(target) = self.set.choose_first(left, tried, now, rng) {
                return Some((key, target));
            }
            if tried.is_empty() || !self.set.can_choose_first(left, &[], now, rng) {
                return None;
            }
        }
        None
    }
}
