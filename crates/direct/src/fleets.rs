//! The fleets of all services, kept as table and board say.

use crate::dialect::{Keeps, Reading};
use crate::permit::Permit;
use crate::timing::Timing;
use member::Presence;
use node::KnownTarget;
use outlet::{ClientSettings, Connection, Pool};
use rand::rngs::SmallRng;
use route::{
    Distance, LoadEstimate, Outcome, Pace, ReportedLoad, RetryBudget, ReturnSchedule, TargetKey,
    TargetSet, TargetSetTuning, TimeUsed,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use table::Table;
use tokio::sync::{Semaphore, SemaphorePermit, watch};

/// Retries for each request. Targets of a service bear a fifth more; the rest
/// is for callers who come back by themselves.
const RETRY_RATIO: f64 = 0.15;
/// Retries beside those that requests pay for, so that a quiet service may
/// retry at all.
const RETRY_RESERVE: u32 = 3;
/// Retries that requests have paid for and that are kept for later. With the
/// reserve and what comes back of it in ten seconds they make 13 at an entry:
/// 52 at four entries, 208 at sixteen. A service bears 88 and 212.
const RETRY_EARNED: f64 = 5.0;
/// Time in which one retry of the reserve comes back.
const RETRY_REFILL: Duration = Duration::from_secs(2);
/// Requests that may wait at a model engine for each of its slots: with a
/// dozen slots one becomes free every hundred milliseconds or so, and two such
/// times are left of an objective of 400 ms.
const ENGINE_WAITING: f64 = 0.15;
/// Connections to a target that are kept.
const MOST_KEPT: usize = 16;
/// Silence after which a target gets no new work: five check-ins of it.
const SILENT: Duration = Duration::from_secs(6);

/// Requests that wait for a table or a target at most: with four entries about
/// what the targets of a service can begin at once when they are back.
const MOST_WAITING: usize = 64;

/// The fleets of all services.
#[derive(Debug)]
pub(crate) struct Fleets {
    zone: String,
    timing: Timing,
    inner: Mutex<Inner>,
    /// Ticks each time targets or tables may have changed.
    news: watch::Sender<()>,
    waiters: Semaphore,
}

#[derive(Debug)]
struct Inner {
    rng: SmallRng,
    services: BTreeMap<String, Service>,
    /// Time that callers of each route have used before they come.
    used: BTreeMap<String, TimeUsed>,
}

#[derive(Debug)]
struct Service {
    fleet: TargetSet,
    budget: RetryBudget,
    returns: ReturnSchedule,
    endpoints: BTreeMap<String, (TargetKey, Endpoint)>,
    /// Since when requests have found no target that takes work.
    absent: Option<Instant>,
}

/// How a target is reached.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) pool: Arc<Pool>,
}

/// Why no target is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementError {
    /// None takes work.
    Absent,
    /// All are full, or were tried.
    Full,
}

impl Fleets {
    pub(crate) fn new(zone: &str, timing: Timing) -> Fleets {
        let inner = Inner {
            rng: rand::make_rng(),
            services: BTreeMap::new(),
            used: BTreeMap::new(),
        };
        Fleets {
            zone: zone.to_owned(),
            timing,
            inner: Mutex::new(inner),
            news: watch::Sender::default(),
            waiters: Semaphore::new(MOST_WAITING),
        }
    }

    /// Brings the fleets in line with the table and what targets told.
    pub(crate) fn follow(&self, table: &Table, known: &[KnownTarget], now: Instant) {
        let mut inner = self.inner();
        let named = |name: &str| table.service(name).is_some();
        inner.services.retain(|name, _| named(name));
        let routes: BTreeSet<&str> = table.routes().iter().map(|r| r.name.as_str()).collect();
        inner.used.retain(|name, _| routes.contains(name.as_str()));
        for service in table.services() {
            let fresh = || Service::new(service, self.timing.retry_full, now);
            let held = inner
                .services
                .entry(service.name.clone())
                .or_insert_with(fresh);
            let own = known
                .iter()
                .filter(|known| known.told.service == service.name);
            held.follow(own, self, now);
        }
        drop(inner);
        self.news.send_replace(());
    }

    /// Of each service the targets that take work, and all.
    pub(crate) fn counts(&self) -> Vec<(String, usize, usize)> {
        let inner = self.inner();
        let services = inner.services.iter();
        let counted = services.map(|(name, held)| {
            let able = held.fleet.available();
            (name.clone(), able, held.endpoints.len())
        });
        counted.collect()
    }

    /// Ticks each time targets may have changed.
    pub(crate) fn news(&self) -> watch::Receiver<()> {
        self.news.subscribe()
    }

    /// Room for one more request that waits.
    pub(crate) fn waiter(&self) -> Option<SemaphorePermit<'_>> {
        self.waiters.try_acquire().ok()
    }

    /// When a request that waits for a target of a service that has none looks
    /// again; none if it is to be refused at once.
    pub(crate) fn looks_again(
        &self,
        service: &str,
        deadline: Instant,
        now: Instant,
    ) -> Option<Instant> {
        let inner = self.inner();
        let held = inner.services.get(service)?;
        let absence = &self.timing.absence;
        let until = absence.waits_until(held.absent?, deadline, now)?;
        let trial = held.fleet.next_trial().filter(|at| *at > now);
        Some(trial.map_or(until, |at| at.min(until)))
    }

    /// Takes a place at the best target that wasn't tried.
    pub(crate) fn place(
        self: &Arc<Fleets>,
        service: &str,
        left: Duration,
        tried: &[TargetKey],
        now: Instant,
    ) -> Result<Permit, PlacementError> {
        let mut inner = self.inner();
        let Inner { rng, services, .. } = &mut *inner;
        let held = services.get_mut(service).ok_or(PlacementError::Absent)?;
        let Some(key) = held.fleet.choose_in(left, tried, now, rng) else {
            if held.fleet.has_available() {
                return Err(PlacementError::Full);
            }
            held.absent.get_or_insert(now);
            return Err(PlacementError::Absent);
        };
        if held.fleet.has_available() {
            held.absent = None;
        }
        let (endpoint, seen) = held.start(key, now).ok_or(PlacementError::Absent)?;
        drop(inner);
        Ok(Permit::new(Arc::clone(self), service, key, endpoint, seen))
    }

    /// Takes a place for a stream that leaves a slow target.
    pub(crate) fn place_to_move(
        self: &Arc<Fleets>,
        service: &str,
        tried: &[TargetKey],
        now: Instant,
    ) -> Option<Permit> {
        let mut inner = self.inner();
        let Inner { rng, services, .. } = &mut *inner;
        let held = services.get_mut(service)?;
        let key = held.fleet.choose_to_move(tried, now, rng)?;
        let (endpoint, seen) = held.start(key, now)?;
        drop(inner);
        Some(Permit::new(Arc::clone(self), service, key, endpoint, seen))
    }

    /// How much of their time a caller of a route has used who still waits for
    /// `patience`.
    pub(crate) fn time_used(&self, route: &str, patience: Duration, now: Instant) -> Duration {
        let mut inner = self.inner();
        if !inner.used.contains_key(route) {
            inner.used.insert(route.to_owned(), TimeUsed::new(now));
        }
        let used = inner.used.get_mut(route);
        used.map_or(Duration::ZERO, |used| used.observe(patience, now))
    }

    /// Counts a request towards the retries of its service.
    pub(crate) fn deposit(&self, service: &str) {
        if let Some(held) = self.inner().services.get_mut(service) {
            held.budget.deposit();
        }
    }

    /// Takes a retry, if the service bears one more.
    pub(crate) fn withdraw(&self, service: &str, now: Instant) -> bool {
        let mut inner = self.inner();
        let held = inner.services.get_mut(service);
        held.is_some_and(|held| held.budget.withdraw(now))
    }

    /// When a caller who is refused may come back, after `most` at the latest.
    pub(crate) fn come_back(&self, service: &str, most: Duration, now: Instant) -> Duration {
        let mut inner = self.inner();
        let held = inner.services.get_mut(service);
        held.map_or(self.timing.retry_full, |held| held.returns.next(most, now))
    }

    /// Whether another target could take a request that is sent again.
    pub(crate) fn bears_retry(
        &self,
        service: &str,
        left: Duration,
        tried: &[TargetKey],
        now: Instant,
    ) -> bool {
        let mut inner = self.inner();
        let Inner { rng, services, .. } = &mut *inner;
        services.get_mut(service).is_some_and(|held| {
            held.budget.has_one(now) && held.fleet.choose_in(left, tried, now, rng).is_some()
        })
    }

    /// Whether a stream should leave its target for one that has room.
    pub(crate) fn sheds(&self, service: &str, key: TargetKey, now: Instant) -> bool {
        let mut inner = self.inner();
        let Inner { rng, services, .. } = &mut *inner;
        services.get_mut(service).is_some_and(|held| {
            held.fleet.sheds(key)
                && held.budget.has_one(now)
                && held.fleet.choose_to_move(&[key], now, rng).is_some()
        })
    }

    pub(crate) fn told(&self, service: &str, key: TargetKey, load: ReportedLoad, now: Instant) {
        if let Some(held) = self.inner().services.get_mut(service) {
            held.fleet.told(key, load, now);
        }
    }

    /// A stream paused, and is late if it pauses for longer than the second.
    pub(crate) fn paused(
        &self,
        service: &str,
        key: TargetKey,
        (pause, most): (Duration, Duration),
        now: Instant,
    ) {
        if let Some(held) = self.inner().services.get_mut(service) {
            held.fleet.paused(key, pause, most, now);
        }
    }

    /// A request is over that was sent `time` ago.
    pub(crate) fn end(
        &self,
        service: &str,
        key: TargetKey,
        (outcome, time): (Outcome, Duration),
        now: Instant,
    ) {
        if let Some(held) = self.inner().services.get_mut(service) {
            held.fleet.end(key, outcome, now);
            if !matches!(outcome, Outcome::Declined | Outcome::Replaced) {
                held.returns.ended(now);
            }
            if outcome == Outcome::Answered {
                held.fleet.ran(time);
            }
        }
        if outcome == Outcome::Declined {
            // Others wait for the end of its trial.
            self.news.send_replace(());
        }
    }

    /// Closes connections that were kept for too long.
    pub(crate) fn tidy(&self, now: Instant) {
        let inner = self.inner();
        let endpoints = inner
            .services
            .values()
            .flat_map(|held| held.endpoints.values());
        for (_, endpoint) in endpoints {
            endpoint.pool.tidy(now);
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        // Nothing under the lock can panic half-endpoint.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service {
    fn new(service: &table::Service, retry_full: Duration, now: Instant) -> Service {
        Service {
            fleet: TargetSet::new(tuning(service)),
            budget: RetryBudget::new(RETRY_RATIO, RETRY_RESERVE, now)
                .bounded(RETRY_EARNED, RETRY_REFILL),
            returns: ReturnSchedule::new(retry_full),
            endpoints: BTreeMap::new(),
            absent: None,
        }
    }

    /// Begins a request at a target.
    fn start(&mut self, key: TargetKey, now: Instant) -> Option<(Endpoint, Option<LoadEstimate>)> {
        let mut endpoints = self.endpoints.values();
        let (_, endpoint) = endpoints.find(|(known, _)| *known == key)?;
        let seen = self.fleet.seen(key, now);
        self.fleet.start(key);
        Some((endpoint.clone(), seen))
    }

    fn follow<'a>(
        &mut self,
        known: impl Iterator<Item = &'a KnownTarget>,
        fleets: &Fleets,
        now: Instant,
    ) {
        let mut stays = BTreeSet::new();
        let mut slowdowns = Vec::new();
        let known: Vec<&KnownTarget> = known.collect();
        let silence = |known: &KnownTarget| now.saturating_duration_since(known.heard);
        // With control lost nothing is heard of any target, and that says
        // nothing about them.
        let heard_any = known.iter().any(|known| silence(known) < SILENT);
        for known in known {
            let told = &known.told;
            let moved = |endpoint: &Endpoint| endpoint.address != told.address;
            if self
                .endpoints
                .get(&told.id)
                .is_some_and(|(_, endpoint)| moved(endpoint))
            {
                self.remove(&told.id);
            }
            if !self.endpoints.contains_key(&told.id) {
                self.insert(known, fleets);
            }
            let Some((key, _)) = self.endpoints.get(&told.id) else {
                continue;
            };
            let silent = heard_any && silence(known) >= SILENT;
            let open = told.presence == Presence::Ready && !silent;
            self.fleet.set_open(*key, open);
            self.fleet.heard(*key, known.heard);
            slowdowns.push((*key, known.slowdown));
            stays.insert(told.id.clone());
        }
        self.fleet.set_slowdowns(&slowdowns);
        let gone: Vec<String> = self
            .endpoints
            .keys()
            .filter(|id| !stays.contains(*id))
            .cloned()
            .collect();
        for id in gone {
            self.remove(&id);
        }
    }

    fn insert(&mut self, known: &KnownTarget, fleets: &Fleets) {
        let told = &known.told;
        let distance = if told.zone == fleets.zone {
            Distance::Near
        } else {
            Distance::Far
        };
        let key = self.fleet.insert(told.slots, distance);
        let endpoint = Endpoint {
            id: told.id.clone(),
            address: told.address,
            pool: Arc::new(Pool::new(MOST_KEPT, fleets.timing.kept)),
        };
        self.endpoints.insert(told.id.clone(), (key, endpoint));
    }

    fn remove(&mut self, id: &str) {
        if let Some((key, endpoint)) = self.endpoints.remove(id) {
            self.fleet.remove(key);
            endpoint.pool.clear();
        }
    }
}

/// A plain service's requests take a fifth of their objective, so that one
/// round may wait; a stream takes several times its objective.
fn tuning(service: &table::Service) -> TargetSetTuning {
    let Some(engine) = service.engine else {
        return TargetSetTuning::default();
    };
    TargetSetTuning {
        waiting: ENGINE_WAITING,
        pace: Some(Pace::new(engine.step, engine.step_per_request)),
        ..TargetSetTuning::default()
    }
}

/// Keeps a connection whose answer was read to its end, if its target does.
pub(crate) fn keep(endpoint: &Endpoint, mut conn: Connection, reading: &Reading, timing: &Timing) {
    match reading.keeps {
        Keeps::Not => return,
        Keeps::For(time) if time < timing.kept => return,
        Keeps::For(_) | Keeps::Untold => {}
    }
    let cfg = ClientSettings {
        connect: timing.connect,
        head: timing.silence,
        progress: timing.silence,
        question: timing.silence,
    };
    match conn.keep(&cfg) {
        Ok(()) => endpoint.pool.put(conn, Instant::now()),
        Err(e) => log::debug!("connection to {} isn't kept: {e}", endpoint.address),
    }
}
