//! One run of a case under a policy.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{AdmissionDecision, AttemptKey, AttemptResult, TicketKey};

use crate::case::Case;
use crate::figures::Figures;
use crate::policy::{Entry, Policy, Raw};
use crate::server::{AttemptId, Server, Waiting};
use crate::traffic::{ENTRIES, LENGTH, Request, requests};

/// One way between entry and target, in seconds.
const WAY: f64 = 0.001;
/// Between two reports of a target.
const REPORT: f64 = 0.1;
/// Between two looks of an entry at its queue.
const LOOK: f64 = 0.02;
/// Until an entry takes a silent link for lost.
const SILENCE: f64 = 1.5;
/// Until the member view lacks a dead target.
const VIEW: f64 = 3.0;
/// For how long a caller waits for its first token.
const PATIENCE: f64 = 10.0;
/// For how long our entry lets a request wait for a place.
const QUEUE_WAIT: f64 = 5.0;
const MAX_ATTEMPTS: usize = 3;
/// Requests before this time only warm up.
const WARM: f64 = 20.0;

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive(usize),
    AtServer(AttemptId),
    First(AttemptId),
    Done(AttemptId),
    FirstAtEntry(AttemptId),
    DoneAtEntry(AttemptId),
    Refused(AttemptId),
    Lost(AttemptId),
    TakeReport(usize),
    Report(usize, Raw),
    Look(usize),
    GiveUp(usize),
    Die(usize),
    Gone(usize),
}

struct Attempt {
    request: usize,
    server: usize,
    key: Option<AttemptKey>,
    tokens: f64,
    over: bool,
    /// Its caller gave it up while it ran.
    cancelled: bool,
}

#[derive(Default)]
struct State {
    ticket: Option<TicketKey>,
    avoid: Vec<usize>,
    attempts: usize,
    first: Option<f64>,
    over: bool,
}

pub struct Run<'a> {
    case: &'a Case,
    requests: Vec<Request>,
    states: Vec<State>,
    attempts: Vec<Attempt>,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    /// Requests of an entry that were let in and have no target yet.
    unplaced: Vec<Vec<usize>>,
    tickets: Vec<BTreeMap<TicketKey, usize>>,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    what: Vec<Event>,
    now: f64,
    rng: SmallRng,
    figures: Figures,
}

impl<'a> Run<'a> {
    pub fn new(case: &'a Case, policy: Policy) -> Self {
        let began = Instant::now() + Duration::from_hours(1);
        let requests = requests(case);
        let speed = |i: usize| if case.slow && i == 0 { 0.25 } else { 1.0 };
        let servers = (0..case.servers).map(|i| Server::new(speed(i)));
        let entries = (0..ENTRIES).map(|i| Entry::new(policy, case.servers, i, began));
        let mut run = Run {
            case,
            states: requests.iter().map(|_| State::default()).collect(),
            attempts: Vec::new(),
            servers: servers.collect(),
            entries: entries.collect(),
            unplaced: vec![Vec::new(); ENTRIES],
            tickets: vec![BTreeMap::new(); ENTRIES],
            events: BinaryHeap::new(),
            what: Vec::new(),
            now: 0.0,
            rng: SmallRng::seed_from_u64(7),
            figures: Figures::default(),
            requests,
        };
        run.begin();
        run
    }

    pub fn finish(mut self) -> Figures {
        while let Some(Reverse((at, index))) = self.events.pop() {
            self.now = to_seconds(at);
            self.handle(self.what[index]);
        }
        self.figures.prefilled = self.servers.iter().map(|server| server.prefilled).sum();
        self.figures
    }

    fn begin(&mut self) {
        for i in 0..self.requests.len() {
            self.at(self.requests[i].at, Event::Arrive(i));
        }
        for i in 0..self.servers.len() {
            self.at(0.0, Event::TakeReport(i));
        }
        for i in 0..ENTRIES {
            self.at(0.0, Event::Look(i));
        }
        if self.case.dies {
            self.at(LENGTH / 2.0, Event::Die(0));
        }
    }

    fn at(&mut self, at: f64, event: Event) {
        self.events.push(Reverse((to_nanos(at), self.what.len())));
        self.what.push(event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::AtServer(attempt) => self.at_server(attempt),
            Event::First(attempt) => self.first(attempt),
            Event::Done(attempt) => self.done(attempt),
            Event::FirstAtEntry(attempt) => self.first_at_entry(attempt),
            Event::DoneAtEntry(attempt) => self.done_at_entry(attempt),
            Event::Refused(attempt) => self.failed(attempt, AttemptResult::Full),
            Event::Lost(attempt) => self.failed(attempt, AttemptResult::Failed),
            Event::TakeReport(server) => self.take_report(server),
            Event::Report(server, raw) => {
                for entry in &mut self.entries {
                    entry.report(server, raw);
                }
            }
            Event::Look(entry) => self.look(entry),
            Event::GiveUp(request) => self.give_up(request),
            Event::Die(server) => self.die(server),
            Event::Gone(server) => {
                for entry in &mut self.entries {
                    entry.gone(server);
                }
            }
        }
    }

    fn counts(&self, request: usize) -> bool {
        self.requests[request].at >= WARM
    }

    fn arrive(&mut self, index: usize) {
        let request = self.requests[index];
        if self.counts(index) {
            self.figures.sent += 1;
            self.figures.sent_of[request.account as usize] += 1;
        }
        self.at(request.at + PATIENCE, Event::GiveUp(index));
        let now = self.now;
        let entry = &mut self.entries[request.entry];
        if entry.policy != Policy::Ours {
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

    /// Lets in whoever's turn it is at an entry.
    fn advance(&mut self, entry: usize) {
        let now = self.entries[entry].instant(self.now);
        let at = &mut self.entries[entry];
        at.admission.set_capacity(at.pool.capacity(now));
        let advance = at.admission.advance(now);
        for ticket in advance.admitted {
            if let Some(index) = self.tickets[entry].remove(&ticket) {
                self.place(index);
            }
        }
        for (ticket, _) in advance.refused {
            if let Some(index) = self.tickets[entry].remove(&ticket) {
                self.refuse(index);
            }
        }
    }

    fn look(&mut self, entry: usize) {
        for index in std::mem::take(&mut self.unplaced[entry]) {
            self.place(index);
        }
        self.advance(entry);
        if self.now < LENGTH + PATIENCE {
            self.at(self.now + LOOK, Event::Look(entry));
        }
    }

    fn place(&mut self, index: usize) {
        if self.states[index].over {
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
            over: false,
            cancelled: false,
        });
        self.at(self.now + WAY, Event::AtServer(attempt));
    }

    fn at_server(&mut self, id: AttemptId) {
        let attempt = &self.attempts[id];
        let request = self.requests[attempt.request];
        let server = &mut self.servers[attempt.server];
        if !server.alive {
            self.at(self.now + SILENCE, Event::Lost(id));
            return;
        }
        let waiting = Waiting {
            attempt: id,
            prompt: request.prompt,
            prefix: request.prefix,
        };
        if server.take(waiting) {
            self.serve(self.attempts[id].server);
        } else {
            self.at(self.now + WAY, Event::Refused(id));
        }
    }

    /// Gives places to those who wait at a server.
    fn serve(&mut self, server: usize) {
        while let Some(placed) = self.servers[server].place(self.now) {
            self.attempts[placed.attempt].tokens = placed.tokens;
            self.at(placed.first, Event::First(placed.attempt));
        }
    }

    fn first(&mut self, id: AttemptId) {
        let attempt = &self.attempts[id];
        let server = &mut self.servers[attempt.server];
        if attempt.over && !attempt.cancelled || !server.alive {
            return;
        }
        if attempt.cancelled {
            server.running -= 1;
            self.serve(self.attempts[id].server);
            return;
        }
        let answer = f64::from(self.requests[attempt.request].answer);
        let done = self.now + answer * server.step();
        self.at(self.now + WAY, Event::FirstAtEntry(id));
        self.at(done, Event::Done(id));
    }

    fn done(&mut self, id: AttemptId) {
        let server = self.attempts[id].server;
        if !self.servers[server].alive {
            return;
        }
        self.servers[server].running -= 1;
        self.serve(server);
        self.at(self.now + WAY, Event::DoneAtEntry(id));
    }

    fn first_at_entry(&mut self, id: AttemptId) {
        let attempt = &self.attempts[id];
        let (index, key) = (attempt.request, attempt.key);
        let request = self.requests[index];
        self.entries[request.entry].answered(self.now, key);
        if self.states[index].first.is_none() {
            self.states[index].first = Some(self.now);
            if self.counts(index) {
                let waited = self.now - request.at;
                self.figures.firsts.push((waited, request.account));
                self.figures.served_of[request.account as usize] += 1;
            }
        }
    }

    fn done_at_entry(&mut self, id: AttemptId) {
        self.attempts[id].over = true;
        let index = self.attempts[id].request;
        self.end_attempt(id, AttemptResult::Completed);
        self.states[index].over = true;
        self.release(index);
    }

    fn failed(&mut self, id: AttemptId, ending: AttemptResult) {
        if self.attempts[id].over {
            return;
        }
        self.attempts[id].over = true;
        self.figures.wasted += self.attempts[id].tokens;
        let index = self.attempts[id].request;
        self.end_attempt(id, ending);
        if self.states[index].over {
            return;
        }
        let server = self.attempts[id].server;
        self.states[index].avoid.push(server);
        let entry = &mut self.entries[self.requests[index].entry];
        if self.states[index].attempts < MAX_ATTEMPTS && entry.may_retry(self.now) {
            if self.counts(index) {
                self.figures.retried += 1;
            }
            self.place(index);
        } else {
            self.refuse(index);
        }
    }

    fn end_attempt(&mut self, id: AttemptId, ending: AttemptResult) {
        let (index, key) = (self.attempts[id].request, self.attempts[id].key);
        let entry = &mut self.entries[self.requests[index].entry];
        entry.end(self.now, key, ending);
    }

    fn refuse(&mut self, index: usize) {
        self.states[index].over = true;
        if self.counts(index) {
            self.figures.refused += 1;
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

    /// The caller has waited long enough for its first token.
    fn give_up(&mut self, index: usize) {
        if self.states[index].over || self.states[index].first.is_some() {
            return;
        }
        if self.counts(index) {
            // It waited that long for nothing.
            let account = self.requests[index].account;
            self.figures.firsts.push((PATIENCE, account));
        }
        let running = (0..self.attempts.len()).rev();
        let mut running = running.filter(|id| self.attempts[*id].request == index);
        if let Some(id) = running.next().filter(|id| !self.attempts[*id].over) {
            self.attempts[id].over = true;
            self.end_attempt(id, AttemptResult::Cancelled);
            self.cancel(id);
        }
        self.refuse(index);
    }

    fn cancel(&mut self, id: AttemptId) {
        let server = &mut self.servers[self.attempts[id].server];
        let queued = server.queue.iter().position(|w| w.attempt == id);
        if let Some(at) = queued {
            server.queue.remove(at);
        } else if server.alive {
            self.attempts[id].cancelled = true;
            self.figures.wasted += self.attempts[id].tokens;
        }
    }

    fn take_report(&mut self, index: usize) {
        let server = &self.servers[index];
        if !server.alive {
            return;
        }
        let raw = Raw {
            at: self.now,
            running: server.running,
            queued: u32::try_from(server.queue.len()).unwrap(),
            queued_tokens: to_u32(server.queued_tokens(self.now)),
            step: server.step(),
        };
        if self.rng.random::<f64>() >= self.case.gaps {
            self.at(self.now + self.case.lag, Event::Report(index, raw));
        }
        if self.now < LENGTH + PATIENCE {
            self.at(self.now + REPORT, Event::TakeReport(index));
        }
    }

    fn die(&mut self, server: usize) {
        self.servers[server].die();
        for id in 0..self.attempts.len() {
            if self.attempts[id].server == server && !self.attempts[id].over {
                self.at(self.now + SILENCE, Event::Lost(id));
            }
        }
        self.at(self.now + VIEW, Event::Gone(server));
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the times of a run are small and positive"
)]
fn to_nanos(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the times of a run are far below 2^53 nanoseconds"
)]
fn to_seconds(nanos: u64) -> f64 {
    nanos as f64 / 1e9
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "queues of a run are short"
)]
fn to_u32(value: f64) -> u32 {
    value as u32
}
