//! Entries that let requests wait in a `RequestQueue`, as `docs/design/hard-load.md` says.

use crate::callers::{Place, RETRY_AFTER_SHARE, Request, weight};
use crate::day::Day;
use crate::entry::Entry;
use rand::RngExt;
use route::{Priority, QueueRefusal, QueuedRequest, Return, ReturnRamp};
use std::time::{Duration, Instant};

/// Memory that a waiting request holds.
const BYTES: usize = 4 << 10;
/// Time within which a hint must start to be on time: its objective of 400 ms less the time
/// to its first event.
const URGENT_SLACK: Duration = Duration::from_millis(200);
/// Outages after which starts are limited.
const MIN_RAMPED: Duration = Duration::from_secs(1);

fn queued(request: &Request, now: Instant) -> QueuedRequest {
    let route = u32::try_from(request.route).unwrap();
    let account = route;
    QueuedRequest {
        priority: Priority { account, route },
        account: u64::try_from(request.account).unwrap() + 1,
        weight: weight(request.account),
        bytes: BYTES,
        on_time_until: request.on_time_until(now),
        useful_until: request.useful_until(),
    }
}

impl Day {
    /// Starts a request if none precedes it and a target has room, or else queues it.
    pub fn start_or_queue(&mut self, id: usize) {
        let now = self.now;
        let own = self.requests[id].entry;
        let request = queued(&self.requests[id], now);
        let has_precedence = self.entries[own]
            .queue
            .has_precedence(request.priority, now);
        if has_precedence && self.start_queued(id) {
            let queue = &mut self.entries[own].queue;
            queue.record_start(request.priority, request.account, request.weight, now);
            return;
        }
        self.entries[own].update_outage(now);
        match self.entries[own].queue.push(request, now) {
            Ok(key) => {
                self.entries[own].queued.insert(key, id);
                self.requests[id].place = Place::Entry;
            }
            Err(refusal) => self.refuse_queued(id, refusal),
        }
    }

    /// Starts a request if the limits after an outage and on retries allow it: a stream that
    /// is resumed takes a retry.
    fn start_queued(&mut self, id: usize) -> bool {
        let now = self.now;
        let request = &self.requests[id];
        let resumes = request.is_held_open();
        let entry = &mut self.entries[request.entry];
        let is_admitted = entry.ramp.is_none_or(|ramp| ramp.admits(now))
            && (!resumes || entry.budget.can_withdraw(now));
        let leaves_reserve = entry.leaves_reserve(queued(request, now).priority, now);
        let time_left = request.time_to_objective(now);
        let starts = is_admitted && leaves_reserve && self.try_start(id, time_left).is_ok();
        if starts && resumes {
            self.entries[self.requests[id].entry].budget.withdraw(now);
        }
        starts
    }

    /// Refuses a request, with a time after the predicted end of an outage if there is one.
    /// A stream that was held open ends, and its caller resumes it.
    fn refuse_queued(&mut self, id: usize, refusal: QueueRefusal) {
        let request = &self.requests[id];
        if request.is_held_open() {
            return self.break_off(id);
        }
        let entry = &mut self.entries[request.entry];
        let retry_after = entry.outage.remaining(self.now).map(|remaining| {
            let at = Return {
                remaining,
                ahead: entry.queue.len(),
                max_delay: request.time_left(self.now).mul_f64(RETRY_AFTER_SHARE),
            };
            let priority = queued(request, self.now).priority;
            let phase = self.rng.random();
            entry.returns.retry_after(priority, &at, phase, self.now)
        });
        self.refuse(id, retry_after.unwrap_or(refusal.retry_after));
    }

    /// Refuses what cannot be served, and starts waiting requests in order.
    pub fn serve_queue(&mut self, own: usize) {
        let now = self.now;
        let entry = &mut self.entries[own];
        entry.update_outage(now);
        let has_changed = entry.take_changed(now);
        let is_due = entry.queue.next_check(now).is_some_and(|at| at <= now);
        if entry.queue.is_empty() || !has_changed && !is_due && entry.ramp.is_none() {
            return;
        }
        for (key, refusal) in entry.queue.refuse_unservable(now) {
            if let Some(id) = self.entries[own].queued.remove(&key) {
                self.refuse_queued(id, refusal);
            }
        }
        while let Some(key) = self.entries[own].queue.next(now) {
            let id = self.entries[own].queued[&key];
            if !self.start_queued(id) {
                break;
            }
            self.entries[own].queue.start(key, now);
            self.entries[own].queued.remove(&key);
        }
    }

    /// Removes a waiting request whose caller has left.
    pub fn leave_entry(&mut self, id: usize) {
        let entry = &mut self.entries[self.requests[id].entry];
        entry.waiting.retain(|(waiting, _)| *waiting != id);
        let mut left = entry.queued.extract_if(.., |_, queued| *queued == id);
        if let Some((key, _)) = left.next() {
            entry.queue.remove(key);
        }
    }
}

impl Entry {
    /// Whether a request of this priority leaves enough slots free for more urgent ones.
    fn leaves_reserve(&self, priority: Priority, now: Instant) -> bool {
        let reserve = self.queue.reserve(priority, URGENT_SLACK, now);
        reserve <= 0.0
            || self.queue.may_use_reserve(priority, now)
            || self.set.free_slots(now) > reserve
    }

    /// Tells the queue until when no target is predicted to be available.
    fn update_outage(&mut self, now: Instant) {
        self.outage.settle(now);
        self.ramp = self.ramp.filter(|ramp| !ramp.is_over(now));
        if self.unavailable_since.is_some() {
            if self.outage.began(now).is_some() {
                self.returns.outage_began(now);
                self.ramp = None;
            }
        } else if let Some(since) = self.outage.since() {
            self.outage.ended(now);
            if now - since >= MIN_RAMPED {
                self.ramp = Some(ReturnRamp::new(self.returns.rate_before(), now));
            }
        }
        let end = self.outage.since().zip(self.outage.remaining(now));
        let paused_until = end.map(|(_, left)| now + left);
        if paused_until != self.paused_until {
            self.queue.set_paused(paused_until);
            self.paused_until = paused_until;
        }
    }
}
