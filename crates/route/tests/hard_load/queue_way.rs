//! Entries that let requests wait in a `RequestQueue`.

use crate::callers::{Place, Request, weight};
use crate::day::Day;
use route::{Priority, QueuedRequest};
use std::time::{Duration, Instant};

/// Memory that a waiting request holds.
const BYTES: usize = 4 << 10;

fn priority(request: &Request) -> Priority {
    let route = u32::try_from(request.route).unwrap();
    Priority {
        account: route,
        route,
    }
}

fn queued(request: &Request, now: Instant) -> QueuedRequest {
    QueuedRequest {
        priority: priority(request),
        account: u64::from(request.account) + 1,
        weight: weight(request.account),
        bytes: BYTES,
        on_time_until: request.on_time_until(now),
        useful_until: request.useful_until(),
    }
}

/// Time within which a request has to get a slot. One that is late is not kept out by
/// that: those that are less urgent would be admitted in its place.
fn time_left(request: &Request, now: Instant) -> Duration {
    let left = request.time_to_objective(now);
    if request.on_time_until(now).is_some() {
        left
    } else {
        left.max(request.route().objective)
    }
}

impl Day {
    /// Starts a request if none precedes it and a target has room, or else queues it.
    pub fn start_or_queue(&mut self, id: usize) {
        let now = self.now;
        let request = &self.requests[id];
        let queued = queued(request, now);
        let queue = &self.entries[request.entry].queue;
        if queue.has_precedence(queued.priority, now) {
            let time_left = time_left(request, now);
            if self.try_start(id, time_left).is_ok() {
                let queue = &mut self.entries[self.requests[id].entry].queue;
                queue.record_start(queued.priority, queued.account, queued.weight, now);
                return;
            }
        }
        self.update_outage(self.requests[id].entry);
        let entry = &mut self.entries[self.requests[id].entry];
        match entry.queue.push(queued, now) {
            Ok(key) => {
                entry.queued.insert(key, id);
                self.requests[id].place = Place::Entry;
            }
            Err(refusal) => self.refuse(id, refusal.retry_after),
        }
    }

    /// Refuses what cannot be served, and starts waiting requests in order.
    pub fn serve_queue(&mut self, own: usize) {
        let now = self.now;
        self.update_outage(own);
        let entry = &mut self.entries[own];
        let has_changed = entry.take_changed(now);
        if entry.queue.is_empty() {
            return;
        }
        let is_due = entry.queue.next_check(now).is_some_and(|at| at <= now);
        if !has_changed && !is_due {
            return;
        }
        for (key, refusal) in entry.queue.refuse_unservable(now) {
            if let Some(id) = self.entries[own].queued.remove(&key) {
                self.refuse(id, refusal.retry_after);
            }
        }
        for key in self.entries[own].queue.order(now) {
            let id = self.entries[own].queued[&key];
            let time_left = time_left(&self.requests[id], now);
            if self.try_start(id, time_left).is_err() {
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
        let key = entry.queued.iter().find(|(_, queued)| **queued == id);
        if let Some((key, _)) = key.map(|(key, id)| (*key, *id)) {
            entry.queue.remove(key);
            entry.queued.remove(&key);
        }
    }

    /// Tells the queue until when no target is predicted to be available.
    fn update_outage(&mut self, own: usize) {
        let now = self.now;
        let entry = &mut self.entries[own];
        if entry.unavailable_since.is_some() {
            entry.outage.began(now);
        } else {
            entry.outage.ended(now);
        }
        let paused_until = entry.outage.remaining(now).map(|left| now + left);
        if paused_until != entry.paused_until {
            entry.queue.set_paused(paused_until);
            entry.paused_until = paused_until;
        }
    }
}
