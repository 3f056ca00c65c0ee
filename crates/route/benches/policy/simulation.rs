//! Discrete-event simulation of a case under a policy.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{AdmissionDecision, AttemptKey, AttemptResult, TicketKey};

use crate::case::Case;
use crate::metrics::Metrics;
use crate::policy::{Entry, Policy, RawReport};
use crate::server::{AttemptId, Queued, Server};
use crate::traffic::{DURATION, ENTRIES, Request, requests};

/// One-way delay between entry and target, in seconds.
const ONE_WAY_DELAY: f64 = 0.001;
/// Time between two reports of a target, in seconds.
const REPORT_INTERVAL: f64 = 0.1;
/// Time between two checks of the queue by an entry, in seconds.
const QUEUE_CHECK_INTERVAL: f64 = 0.02;
/// Time until an entry considers a silent link lost, in seconds.
const LINK_TIMEOUT: f64 = 1.5;
/// Time until a failed target is removed from the member view, in seconds.
const VIEW_DELAY: f64 = 3.0;
/// Time that a caller waits for its first token, in seconds.
const CALLER_TIMEOUT: f64 = 10.0;
/// Maximum wait in the admission queue of an entry, in seconds.
const QUEUE_WAIT: f64 = 5.0;
const MAX_ATTEMPTS: usize = 3;
/// Requests that arrive before this time are not counted, in seconds.
const WARM_UP: f64 = 20.0;

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive(usize),
    AtServer(AttemptId),
    FirstToken(AttemptId),
    Done(AttemptId),
    FirstTokenAtEntry(AttemptId),
    DoneAtEntry(AttemptId),
    Refused(AttemptId),
    Lost(AttemptId),
    TakeReport(usize),
    Report(usize, RawReport),
    CheckQueue(usize),
    CallerTimeout(usize),
    TargetFails(usize),
    TargetRemoved(usize),
}

struct Attempt {
    request: usize,
    server: usize,
    key: Option<AttemptKey>,
    /// Prompt tokens that were prefilled.
    tokens: f64,
    ended: bool,
    /// Whether its caller timed out while it ran.
    cancelled: bool,
}

#[derive(Default)]
struct RequestState {
    ticket: Option<TicketKey>,
    avoid: Vec<usize>,
    attempts: usize,
    first_token_at: Option<f64>,
    ended: bool,
}

pub struct Simulation<'a> {
    case: &'a Case,
    requests: Vec<Request>,
    states: Vec<RequestState>,
    attempts: Vec<Attempt>,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    /// Per entry, admitted requests without a target.
    unplaced: Vec<Vec<usize>>,
    tickets: Vec<BTreeMap<TicketKey, usize>>,
    /// Times in nanoseconds and indexes in `events`, earliest first.
    schedule: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Event>,
    now: f64,
    rng: SmallRng,
    metrics: Metrics,
}

impl<'a> Simulation<'a> {
    pub fn new(case: &'a Case, policy: Policy) -> Self {
        let start = Instant::now() + Duration::from_hours(1);
        let requests = requests(case);
        let speed = |i: usize| {
            if case.slow_target && i == 0 {
                0.25
            } else {
                1.0
            }
        };
        let servers = (0..case.servers).map(|i| Server::new(speed(i)));
        let entries = (0..ENTRIES).map(|i| Entry::new(policy, case.servers, i, start));
        let mut simulation = Simulation {
            case,
            states: requests.iter().map(|_| RequestState::default()).collect(),
            attempts: Vec::new(),
            servers: servers.collect(),
            entries: entries.collect(),
            unplaced: vec![Vec::new(); ENTRIES],
            tickets: vec![BTreeMap::new(); ENTRIES],
            schedule: BinaryHeap::new(),
            events: Vec::new(),
            now: 0.0,
            rng: SmallRng::seed_from_u64(7),
            metrics: Metrics::default(),
            requests,
        };
        simulation.schedule_initial_events();
        simulation
    }

    pub fn finish(mut self) -> Metrics {
        while let Some(Reverse((at, index))) = self.schedule.pop() {
            self.now = to_seconds(at);
            self.handle(self.events[index]);
        }
        self.metrics.prefilled = self.servers.iter().map(|server| server.prefilled).sum();
        self.metrics
    }

    fn schedule_initial_events(&mut self) {
        for i in 0..self.requests.len() {
            self.schedule_event(self.requests[i].arrival, Event::Arrive(i));
        }
        for i in 0..self.servers.len() {
            self.schedule_event(0.0, Event::TakeReport(i));
        }
        for i in 0..ENTRIES {
            self.schedule_event(0.0, Event::CheckQueue(i));
        }
        if self.case.target_fails {
            self.schedule_event(DURATION / 2.0, Event::TargetFails(0));
        }
    }

    fn schedule_event(&mut self, at: f64, event: Event) {
        self.schedule
            .push(Reverse((to_nanos(at), self.events.len())));
        self.events.push(event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::AtServer(attempt) => self.at_server(attempt),
            Event::FirstToken(attempt) => self.first_token(attempt),
            Event::Done(attempt) => self.done(attempt),
            Event::FirstTokenAtEntry(attempt) => self.first_token_at_entry(attempt),
            Event::DoneAtEntry(attempt) => self.done_at_entry(attempt),
            Event::Refused(attempt) => self.attempt_failed(attempt, AttemptResult::Full),
            Event::Lost(attempt) => self.attempt_failed(attempt, AttemptResult::Failed),
            Event::TakeReport(server) => self.take_report(server),
            Event::Report(server, raw) => {
                for entry in &mut self.entries {
                    entry.report(server, raw);
                }
            }
            Event::CheckQueue(entry) => self.check_queue(entry),
            Event::CallerTimeout(request) => self.caller_timeout(request),
            Event::TargetFails(server) => self.target_fails(server),
            Event::TargetRemoved(server) => {
                for entry in &mut self.entries {
                    entry.remove_server(server);
                }
            }
        }
    }

    fn is_counted(&self, request: usize) -> bool {
        self.requests[request].arrival >= WARM_UP
    }

    fn arrive(&mut self, index: usize) {
        let request = self.requests[index];
        if self.is_counted(index) {
            self.metrics.sent += 1;
            self.metrics.sent_by_account[request.account as usize] += 1;
        }
        self.schedule_event(
            request.arrival + CALLER_TIMEOUT,
            Event::CallerTimeout(index),
        );
        let now = self.now;
        let entry = &mut self.entries[request.entry];
        if entry.policy != Policy::Pool {
            self.place(index);
            return;
        }
        entry.budget.deposit();
        let instant = entry.instant(now);
        entry.admission.set_capacity(entry.pool.capacity(instant));
        let account = entry.accounts[request.account as usize];
        let until = entry.instant(now + QUEUE_WAIT);
        let tokens = request.prompt + request.answer;
        match entry.admission.submit(instant, account, tokens, 1, until) {
            AdmissionDecision::Admitted(ticket) => {
                self.states[index].ticket = Some(ticket);
                self.place(index);
            }
            AdmissionDecision::Queued(ticket) => {
                self.states[index].ticket = Some(ticket);
                self.tickets[request.entry].insert(ticket, index);
                self.advance(request.entry);
            }
            AdmissionDecision::Refused(_) => self.refuse(index),
        }
    }

    /// Processes the admission queue of an entry.
    fn advance(&mut self, entry: usize) {
        let now = self.entries[entry].instant(self.now);
        let state = &mut self.entries[entry];
        state.admission.set_capacity(state.pool.capacity(now));
        let update = state.admission.advance(now);
        for ticket in update.admitted {
            if let Some(index) = self.tickets[entry].remove(&ticket) {
                self.place(index);
            }
        }
        for (ticket, _) in update.refused {
            if let Some(index) = self.tickets[entry].remove(&ticket) {
                self.refuse(index);
            }
        }
    }

    fn check_queue(&mut self, entry: usize) {
        for index in std::mem::take(&mut self.unplaced[entry]) {
            self.place(index);
        }
        self.advance(entry);
        if self.now < DURATION + CALLER_TIMEOUT {
            self.schedule_event(self.now + QUEUE_CHECK_INTERVAL, Event::CheckQueue(entry));
        }
    }

    fn place(&mut self, index: usize) {
        if self.states[index].ended {
            return;
        }
        let request = self.requests[index];
        let entry = &mut self.entries[request.entry];
        let avoid = &self.states[index].avoid;
        let mut chosen = entry.choose(self.now, &request, avoid);
        if chosen.is_none() && !avoid.is_empty() {
            chosen = entry.choose(self.now, &request, &[]);
        }
        let Some(chosen) = chosen else {
            self.unplaced[request.entry].push(index);
            return;
        };
        let key = entry.start(self.now, &request, &chosen);
        self.states[index].attempts += 1;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request: index,
            server: chosen.server,
            key,
            tokens: 0.0,
            ended: false,
            cancelled: false,
        });
        self.schedule_event(self.now + ONE_WAY_DELAY, Event::AtServer(attempt));
    }

    fn at_server(&mut self, id: AttemptId) {
        let attempt = &self.attempts[id];
        let request = self.requests[attempt.request];
        let server = &mut self.servers[attempt.server];
        if !server.alive {
            self.schedule_event(self.now + LINK_TIMEOUT, Event::Lost(id));
            return;
        }
        let queued = Queued {
            attempt: id,
            prompt: request.prompt,
            prefix: request.prefix,
        };
        if server.enqueue(queued) {
            self.start_queued(self.attempts[id].server);
        } else {
            self.schedule_event(self.now + ONE_WAY_DELAY, Event::Refused(id));
        }
    }

    /// Starts queued attempts of a server while it has free slots.
    fn start_queued(&mut self, server: usize) {
        while let Some(started) = self.servers[server].start_next(self.now) {
            self.attempts[started.attempt].tokens = started.tokens;
            self.schedule_event(started.first_token_at, Event::FirstToken(started.attempt));
        }
    }

    fn first_token(&mut self, id: AttemptId) {
        let attempt = &self.attempts[id];
        let server = &mut self.servers[attempt.server];
        if attempt.ended && !attempt.cancelled || !server.alive {
            return;
        }
        if attempt.cancelled {
            server.running -= 1;
            self.start_queued(self.attempts[id].server);
            return;
        }
        let answer = f64::from(self.requests[attempt.request].answer);
        let done = self.now + answer * server.step();
        self.schedule_event(self.now + ONE_WAY_DELAY, Event::FirstTokenAtEntry(id));
        self.schedule_event(done, Event::Done(id));
    }

    fn done(&mut self, id: AttemptId) {
        let server = self.attempts[id].server;
        if !self.servers[server].alive {
            return;
        }
        self.servers[server].running -= 1;
        self.start_queued(server);
        self.schedule_event(self.now + ONE_WAY_DELAY, Event::DoneAtEntry(id));
    }

    fn first_token_at_entry(&mut self, id: AttemptId) {
        let attempt = &self.attempts[id];
        let (index, key) = (attempt.request, attempt.key);
        let request = self.requests[index];
        self.entries[request.entry].answered(self.now, key);
        if self.states[index].first_token_at.is_none() {
            self.states[index].first_token_at = Some(self.now);
            if self.is_counted(index) {
                let waited = self.now - request.arrival;
                self.metrics.first_tokens.push((waited, request.account));
                self.metrics.served_by_account[request.account as usize] += 1;
            }
        }
    }

    fn done_at_entry(&mut self, id: AttemptId) {
        self.attempts[id].ended = true;
        let index = self.attempts[id].request;
        self.end_attempt(id, AttemptResult::Completed);
        self.states[index].ended = true;
        self.release(index);
    }

    fn attempt_failed(&mut self, id: AttemptId, result: AttemptResult) {
        if self.attempts[id].ended {
            return;
        }
        self.attempts[id].ended = true;
        self.metrics.wasted += self.attempts[id].tokens;
        let index = self.attempts[id].request;
        self.end_attempt(id, result);
        if self.states[index].ended {
            return;
        }
        let server = self.attempts[id].server;
        self.states[index].avoid.push(server);
        let entry = &mut self.entries[self.requests[index].entry];
        if self.states[index].attempts < MAX_ATTEMPTS && entry.may_retry(self.now) {
            if self.is_counted(index) {
                self.metrics.retried += 1;
            }
            self.place(index);
        } else {
            self.refuse(index);
        }
    }

    fn end_attempt(&mut self, id: AttemptId, result: AttemptResult) {
        let (index, key) = (self.attempts[id].request, self.attempts[id].key);
        let entry = &mut self.entries[self.requests[index].entry];
        entry.end(self.now, key, result);
    }

    fn refuse(&mut self, index: usize) {
        self.states[index].ended = true;
        if self.is_counted(index) {
            self.metrics.refused += 1;
        }
        self.release(index);
    }

    fn release(&mut self, index: usize) {
        let entry = self.requests[index].entry;
        if let Some(ticket) = self.states[index].ticket.take() {
            let request = self.requests[index];
            self.tickets[entry].remove(&ticket);
            let used = request.prompt + request.answer;
            self.entries[entry].admission.release(ticket, used);
            self.advance(entry);
        }
    }

    /// The caller stops waiting for its first token.
    fn caller_timeout(&mut self, index: usize) {
        if self.states[index].ended || self.states[index].first_token_at.is_some() {
            return;
        }
        if self.is_counted(index) {
            // Counted with its full wait, although it got no answer.
            let account = self.requests[index].account;
            self.metrics.first_tokens.push((CALLER_TIMEOUT, account));
        }
        let running = (0..self.attempts.len()).rev();
        let mut running = running.filter(|id| self.attempts[*id].request == index);
        if let Some(id) = running.next().filter(|id| !self.attempts[*id].ended) {
            self.attempts[id].ended = true;
            self.end_attempt(id, AttemptResult::Cancelled);
            self.cancel(id);
        }
        self.refuse(index);
    }

    fn cancel(&mut self, id: AttemptId) {
        let server = &mut self.servers[self.attempts[id].server];
        let position = server.queue.iter().position(|queued| queued.attempt == id);
        if let Some(position) = position {
            server.queue.remove(position);
        } else if server.alive {
            self.attempts[id].cancelled = true;
            self.metrics.wasted += self.attempts[id].tokens;
        }
    }

    fn take_report(&mut self, index: usize) {
        let server = &self.servers[index];
        if !server.alive {
            return;
        }
        let raw = RawReport {
            taken_at: self.now,
            running: server.running,
            queued: u32::try_from(server.queue.len()).unwrap(),
            queued_tokens: to_u32(server.queued_tokens(self.now)),
            step: server.step(),
        };
        if self.rng.random::<f64>() >= self.case.report_loss {
            self.schedule_event(self.now + self.case.report_age, Event::Report(index, raw));
        }
        if self.now < DURATION + CALLER_TIMEOUT {
            self.schedule_event(self.now + REPORT_INTERVAL, Event::TakeReport(index));
        }
    }

    fn target_fails(&mut self, server: usize) {
        self.servers[server].fail();
        for id in 0..self.attempts.len() {
            if self.attempts[id].server == server && !self.attempts[id].ended {
                self.schedule_event(self.now + LINK_TIMEOUT, Event::Lost(id));
            }
        }
        self.schedule_event(self.now + VIEW_DELAY, Event::TargetRemoved(server));
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "simulated times are small and positive"
)]
fn to_nanos(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}

#[expect(
    clippy::cast_precision_loss,
    reason = "simulated times are far below 2^53 nanoseconds"
)]
fn to_seconds(nanos: u64) -> f64 {
    nanos as f64 / 1e9
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "simulated queues are short"
)]
fn to_u32(value: f64) -> u32 {
    value as u32
}
