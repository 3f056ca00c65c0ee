//! Callers of the three routes: when they come, leave and come back.

use rand::rngs::SmallRng;
use rand::{RngExt, seq::SliceRandom};
use std::time::{Duration, Instant};

/// Time after which a caller has no use for the answer any more.
const DEADLINE: Duration = Duration::from_secs(8);
/// Share of the time left that a caller waits at most before it comes back.
pub const RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;
/// Share of the callers that come back at once, whatever they are told.
const IMPATIENT_SHARE: f64 = 0.03;
const IMPATIENT_WAIT: Duration = Duration::from_millis(50);
/// Attempts of a caller, with the first one.
const ATTEMPTS: u32 = 2;
/// Time that a request needs at a free target until its first event, and until its last.
const FIRST_EVENT: Duration = Duration::from_millis(180);
const STREAM: Duration = Duration::from_secs(2);

/// Client accounts; the first ones are large.
pub const ACCOUNTS: usize = 24;
pub const LARGE_ACCOUNTS: usize = 3;
/// Share of the requests that the large accounts send together.
const LARGE_SHARE: f64 = 0.42;

/// A route of the first customer.
pub struct Route {
    pub name: &'static str,
    /// Requests per second with 72 targets.
    per_second: f64,
    /// Time until the first event of a request that is on time.
    pub objective: Duration,
    /// Time without an event after which callers leave.
    silence: Duration,
    pub value: f64,
    /// Part of the value that a late answer has.
    pub late_share: f64,
}

const fn route(
    name: &'static str,
    per_second: f64,
    (objective_ms, silence_ms): (u64, u64),
    (value, late_share): (f64, f64),
) -> Route {
    Route {
        name,
        per_second,
        objective: Duration::from_millis(objective_ms),
        silence: Duration::from_millis(silence_ms),
        value,
        late_share,
    }
}

/// The routes in the order of their priorities.
pub const ROUTES: [Route; 3] = [
    route("hint", 91.5, (400, 2_000), (3.5, 0.34)),
    route("feedback", 40.3, (400, 2_000), (1.8, 0.46)),
    route("review", 121.0, (1_000, 4_000), (0.92, 0.35)),
];

/// Weight of a client account: the first large one has twice that of the others.
pub fn weight(account: usize) -> f64 {
    if account == 0 { 2.0 } else { 1.0 }
}

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// With its caller, which may come back.
    Caller,
    /// At an entry, where it waits.
    Entry,
    Target(usize),
    Served,
    Lost,
}

/// One request with its caller.
#[derive(Clone, Debug)]
pub struct Request {
    pub route: usize,
    pub account: usize,
    /// Whether the caller comes back as told.
    pub is_patient: bool,
    /// First arrival.
    pub arrived: Instant,
    /// Latest arrival or event.
    heard: Instant,
    pub entry: usize,
    pub place: Place,
    attempts: u32,
    pub refusals: u32,
    pub first_event: Option<Instant>,
    pub events: u32,
    pub is_late: bool,
}

impl Request {
    pub fn new(now: Instant, route: usize, rng: &mut SmallRng) -> Request {
        let account = if rng.random_bool(LARGE_SHARE) {
            rng.random_range(0..LARGE_ACCOUNTS)
        } else {
            rng.random_range(LARGE_ACCOUNTS..ACCOUNTS)
        };
        Request {
            route,
            account,
            is_patient: !rng.random_bool(IMPATIENT_SHARE),
            arrived: now,
            heard: now,
            entry: 0,
            place: Place::Caller,
            attempts: 0,
            refusals: 0,
            first_event: None,
            events: 0,
            is_late: false,
        }
    }

    pub fn route(&self) -> &'static Route {
        &ROUTES[self.route]
    }

    /// Whether it is a stream that the caller has received a part of without a break.
    pub fn is_held_open(&self) -> bool {
        self.events > 0 && self.attempts == 1
    }

    pub fn has_ended(&self) -> bool {
        matches!(self.place, Place::Served | Place::Lost)
    }

    pub fn arrive(&mut self, entry: usize, now: Instant) {
        self.attempts += 1;
        self.heard = now;
        self.entry = entry;
    }

    pub fn time_left(&self, now: Instant) -> Duration {
        (self.arrived + DEADLINE).saturating_duration_since(now)
    }

    /// When the caller leaves if it gets no event until then.
    pub fn leaves_at(&self) -> Instant {
        (self.heard + self.route().silence).min(self.arrived + DEADLINE)
    }

    /// Latest start in a slot to be on time.
    pub fn on_time_until(&self, now: Instant) -> Option<Instant> {
        let until = self.arrived + self.route().objective.saturating_sub(FIRST_EVENT);
        (self.events == 0 && until > now).then_some(until)
    }

    /// Latest start in a slot of which the caller gets all events.
    pub fn useful_until(&self) -> Instant {
        let silence_end = self.heard + self.route().silence.saturating_sub(FIRST_EVENT);
        silence_end.min(self.arrived + DEADLINE.saturating_sub(STREAM))
    }

    /// Time until the first event is late; streams with events have no such limit.
    pub fn time_to_objective(&self, now: Instant) -> Duration {
        if self.events > 0 {
            return Duration::MAX;
        }
        (self.arrived + self.route().objective).saturating_duration_since(now)
    }

    /// Records an event. Returns the pause since the one before.
    pub fn record_event(&mut self, max_pause: Duration, now: Instant) -> Duration {
        let pause = now - self.heard;
        self.is_late |= match self.events {
            0 => now - self.arrived > self.route().objective,
            _ => pause > max_pause,
        };
        self.first_event.get_or_insert(now);
        self.events += 1;
        self.heard = now;
        pause
    }

    /// The caller is refused; returns when it comes back, if it does.
    pub fn refuse(&mut self, retry_after: Duration, now: Instant) -> Option<Instant> {
        self.refusals += 1;
        let told = retry_after.min(self.time_left(now).mul_f64(RETRY_AFTER_SHARE));
        let wait = if self.is_patient {
            told
        } else {
            IMPATIENT_WAIT
        };
        self.come_back(now + wait)
    }

    /// The caller comes back at a time if it has another attempt.
    pub fn come_back(&mut self, at: Instant) -> Option<Instant> {
        let comes = self.attempts < ATTEMPTS && at < self.arrived + DEADLINE;
        self.place = if comes { Place::Caller } else { Place::Lost };
        comes.then_some(at)
    }
}

/// Routes of the requests that arrive within a tick, in random order.
pub fn arrivals(scale: f64, tick: Duration, rng: &mut SmallRng) -> Vec<usize> {
    let mut routes = Vec::new();
    for (route, settings) in ROUTES.iter().enumerate() {
        let expected = settings.per_second * scale * tick.as_secs_f64();
        let mut time = -(1.0 - rng.random::<f64>()).ln();
        while time < expected {
            routes.push(route);
            time -= (1.0 - rng.random::<f64>()).ln();
        }
    }
    routes.shuffle(rng);
    routes
}
