//! Runs a scenario.

use crate::callers::{self, Place, RETRY_AFTER_SHARE, Request};
use crate::entry::{Entry, RETRY_AFTER};
use crate::scenario::{Outcomes, Scenario, Way};
use crate::targets::{EVENTS, Group, News, Stream, Target};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{DispatchOutcome, StartupGrace};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(5);
/// Longest pause between events of a stream that is on time.
const MAX_PAUSE: Duration = Duration::from_millis(120);
/// Bounds of the crate `direct` on requests that wait, and on the jitter of retries.
const MAX_WAITING: usize = 64;
const JITTER: std::ops::Range<f64> = 0.75..1.5;
/// Period and amplitude of the wave in the traffic.
const WAVE_PERIOD: f64 = 9.0;
const WAVE: f64 = 0.1;

/// Why a request could not be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Miss {
    NoTarget,
    Full,
}

/// Something that a caller does at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Act {
    Come,
    /// Leaves if there is still no event.
    Leave,
}

pub struct Day {
    pub scenario: Scenario,
    pub start: Instant,
    pub now: Instant,
    pub rng: SmallRng,
    pub requests: Vec<Request>,
    pub entries: Vec<Entry>,
    targets: Vec<Target>,
    groups: Vec<Group>,
    acts: BinaryHeap<Reverse<(Instant, usize, Act)>>,
}

/// Runs a scenario and returns the outcomes of its requests.
pub fn run(scenario: Scenario) -> Outcomes {
    Day::new(scenario).run()
}

impl Day {
    fn new(scenario: Scenario) -> Day {
        let now = Instant::now();
        let size = scenario.size;
        let ranks = (0..size.targets).step_by(size.group);
        let groups = ranks.map(|first| Group::new(first..first + size.group));
        let mut groups: Vec<Group> = groups.collect();
        if scenario.dark {
            let from = now + scenario.fault_start;
            groups[0].dark = Some(from..from + scenario.fault);
        }
        Day {
            scenario,
            start: now,
            now,
            rng: SmallRng::seed_from_u64(scenario.seed),
            requests: Vec::new(),
            entries: (0..size.entries)
                .map(|own| Entry::new(own, size, now))
                .collect(),
            targets: vec![Target::default(); size.targets],
            groups,
            acts: BinaryHeap::new(),
        }
    }

    fn run(mut self) -> Outcomes {
        let fault_end = self.scenario.fault_start + self.scenario.fault;
        let end = fault_end + self.scenario.rest;
        // Nothing arrives after the end, but what has arrived ends.
        let drained = end + Duration::from_secs(9);
        while self.now - self.start < drained {
            let at = self.now - self.start;
            if at > end && self.requests.iter().all(Request::has_ended) {
                break;
            }
            let in_fault = (self.scenario.fault_start..fault_end).contains(&at);
            self.compute();
            self.act();
            if at < end {
                let phase = at.as_secs_f64() * std::f64::consts::TAU / WAVE_PERIOD;
                let load = if in_fault { self.scenario.load } else { 1.0 };
                let targets = f64::from(u32::try_from(self.targets.len()).unwrap());
                let scale = load * targets / 72.0 * (1.0 + WAVE * phase.sin());
                for route in callers::arrivals(scale, TICK, &mut self.rng) {
                    let request = Request::new(self.now, route, &mut self.rng);
                    self.requests.push(request);
                    self.arrive(self.requests.len() - 1);
                }
            }
            for entry in 0..self.entries.len() {
                match self.scenario.way {
                    Way::Today => self.retry_waiting(entry),
                    Way::Queue => self.serve_queue(entry),
                }
            }
            self.now += TICK;
        }
        Outcomes::new(&self.scenario, self.start, &self.requests)
    }

    fn arrive(&mut self, id: usize) {
        let own = self.rng.random_range(0..self.entries.len());
        self.requests[id].arrive(own, self.now);
        let leaves_at = self.requests[id].leaves_at();
        self.acts.push(Reverse((leaves_at, id, Act::Leave)));
        self.entries[own].budget.deposit();
        match self.scenario.way {
            Way::Today => self.start_or_refuse(id),
            Way::Queue => self.start_or_queue(id),
        }
    }

    fn act(&mut self) {
        let now = self.now;
        while self.acts.peek().is_some_and(|next| next.0.0 <= now)
            && let Some(Reverse((at, id, act))) = self.acts.pop()
        {
            let request = &mut self.requests[id];
            match (act, request.place) {
                (Act::Come, Place::Caller) => self.arrive(id),
                (Act::Leave, Place::Entry | Place::Target(_)) if request.leaves_at() > at => {
                    let leaves_at = request.leaves_at();
                    self.acts.push(Reverse((leaves_at, id, Act::Leave)));
                }
                (Act::Leave, Place::Entry) => {
                    request.place = Place::Lost;
                    self.leave_entry(id);
                }
                (Act::Leave, Place::Target(target)) => {
                    request.place = Place::Lost;
                    self.targets[target].remove(id);
                    self.release(id, target, DispatchOutcome::Abandoned);
                }
                (Act::Come | Act::Leave, _) => {}
            }
        }
    }

    /// Computes on all targets, and delivers what they tell.
    fn compute(&mut self) {
        let now = self.now;
        for group in 0..self.groups.len() {
            let news = self.groups[group].run(&mut self.targets, TICK, now);
            for (target, stream, news) in news {
                match news {
                    News::Event | News::End => self.deliver(target, &stream),
                    News::Broken => {
                        self.release(stream.request, target, DispatchOutcome::Failed);
                        self.resume(stream.request);
                    }
                    News::NotRun => {
                        self.release(stream.request, target, DispatchOutcome::Declined);
                        self.place_again(stream.request);
                    }
                }
            }
        }
    }

    fn deliver(&mut self, target: usize, stream: &Stream) {
        let now = self.now;
        let request = &mut self.requests[stream.request];
        let is_head = stream.is_first_event();
        let pause = request.record_event(MAX_PAUSE, now);
        let entry = &mut self.entries[request.entry];
        let key = entry.keys[target];
        if is_head {
            entry.set.report_load(key, self.targets[target].load(), now);
            entry.returns.record_start(now);
            if let Some(ramp) = &mut entry.ramp {
                ramp.record_report();
            }
            entry.has_changed = true;
        } else {
            entry.set.record_pause(key, pause, MAX_PAUSE, now);
        }
        if request.events >= EVENTS {
            request.place = Place::Served;
            entry.set.record_duration(now - stream.sent);
            self.release(stream.request, target, DispatchOutcome::Answered);
        }
    }

    /// Releases the slot of a request.
    fn release(&mut self, id: usize, target: usize, outcome: DispatchOutcome) {
        let entry = &mut self.entries[self.requests[id].entry];
        entry.set.end(entry.keys[target], outcome, self.now);
        if outcome != DispatchOutcome::Declined {
            entry.schedule.record_completion(self.now);
        }
        entry.has_changed = true;
    }

    /// Sends a request to a target that takes it.
    pub fn try_start(&mut self, id: usize, time_left: Duration) -> Result<(), Miss> {
        let now = self.now;
        let request = &mut self.requests[id];
        let entry = &mut self.entries[request.entry];
        let urgency = match self.scenario.way {
            Way::Today => 0,
            Way::Queue => request.route,
        };
        let mut tried = Vec::new();
        loop {
            let rng = &mut self.rng;
            let chosen = match self.scenario.way {
                Way::Today => entry.set.choose_within(time_left, &tried, now, rng),
                Way::Queue => entry.set.choose_first(time_left, &tried, now, rng),
            };
            let miss = if entry.set.has_available() {
                entry.unavailable_since = None;
                Miss::Full
            } else {
                entry.unavailable_since.get_or_insert(now);
                Miss::NoTarget
            };
            let key = chosen.ok_or(miss)?;
            let target = entry.targets[&key];
            entry.set.start(key, now);
            let stream = Stream::new(id, urgency, request.events, now);
            if self.targets[target].offer(stream) {
                request.place = Place::Target(target);
                if let Some(ramp) = &mut entry.ramp {
                    ramp.record_start();
                }
                return Ok(());
            }
            tried.push(key);
            entry.set.report_load(key, self.targets[target].load(), now);
            entry.set.end(key, DispatchOutcome::Declined, now);
            entry.has_changed = true;
            if !entry.budget.withdraw(now) {
                return Err(Miss::Full);
            }
        }
    }

    /// Places a request as the crate `direct` does without a queue.
    fn start_or_refuse(&mut self, id: usize) {
        let now = self.now;
        let time_left = self.requests[id].time_to_objective(now);
        let Err(miss) = self.try_start(id, time_left) else {
            return;
        };
        let request = &mut self.requests[id];
        let entry = &mut self.entries[request.entry];
        let left = request.time_left(now);
        let jitter = self.rng.random_range(JITTER);
        let retry_after = if miss == Miss::Full {
            let max_wait = left.mul_f64(RETRY_AFTER_SHARE / JITTER.end);
            entry.schedule.next_retry_after(max_wait, now)
        } else {
            let since = entry.unavailable_since.unwrap_or(now);
            let until = StartupGrace::default().wait_until(since, now + left, now);
            if let Some(until) = until.filter(|_| entry.waiting.len() < MAX_WAITING) {
                request.place = Place::Entry;
                entry.waiting.push_back((id, until));
                return;
            }
            RETRY_AFTER
        };
        self.refuse(id, retry_after.mul_f64(jitter));
    }

    /// Tries the requests that wait for a target, as the crate `direct` does without a
    /// queue.
    fn retry_waiting(&mut self, own: usize) {
        let now = self.now;
        let entry = &mut self.entries[own];
        let has_changed = entry.take_changed(now);
        if !has_changed && entry.waiting.iter().all(|(_, until)| now < *until) {
            return;
        }
        for (id, _) in std::mem::take(&mut entry.waiting) {
            self.start_or_refuse(id);
        }
    }

    pub fn refuse(&mut self, id: usize, retry_after: Duration) {
        if let Some(at) = self.requests[id].refuse(retry_after, self.now) {
            self.acts.push(Reverse((at, id, Act::Come)));
        }
    }

    /// A target has not run a request: another one may be given it.
    fn place_again(&mut self, id: usize) {
        let own = self.requests[id].entry;
        if self.scenario.way == Way::Queue {
            self.start_or_queue(id);
        } else if self.entries[own].budget.withdraw(self.now) {
            self.start_or_refuse(id);
        } else {
            self.refuse(id, RETRY_AFTER);
        }
    }

    /// A target has broken a stream off: another one may resume it, or else its caller.
    fn resume(&mut self, id: usize) {
        if self.scenario.way == Way::Queue {
            return self.start_or_queue(id);
        }
        let may_retry = self.entries[self.requests[id].entry]
            .budget
            .withdraw(self.now);
        if !may_retry || self.try_start(id, Duration::MAX).is_err() {
            self.break_off(id);
        }
    }

    pub fn break_off(&mut self, id: usize) {
        if let Some(at) = self.requests[id].come_back(self.now) {
            self.acts.push(Reverse((at, id, Act::Come)));
        }
    }
}
