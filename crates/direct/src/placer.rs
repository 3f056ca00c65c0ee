//! Places requests at the targets of all services.

use crate::permit::Permit;
use crate::service_targets::ServiceTargets;
use crate::timing::Timing;
use node::KnownTarget;
use rand::rngs::SmallRng;
use route::{Outcome, ReportedLoad, TargetKey, TimeUsed};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use table::Table;
use tokio::sync::{Semaphore, SemaphorePermit, watch};

/// Requests that wait for a table or a target at most: with four entries about
/// what the targets of a service can begin at once when they are back.
const MOST_WAITING: usize = 64;

/// Places requests at the targets of all services, kept as table and board say.
#[derive(Debug)]
pub(crate) struct Placer {
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
    services: BTreeMap<String, ServiceTargets>,
    /// Time that callers of each route have used before they come.
    used: BTreeMap<String, TimeUsed>,
}

/// Why no target is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementError {
    /// None takes work.
    Absent,
    /// All are full, or were tried.
    Full,
}

impl Placer {
    pub(crate) fn new(zone: &str, timing: Timing) -> Placer {
        let inner = Inner {
            rng: rand::make_rng(),
            services: BTreeMap::new(),
            used: BTreeMap::new(),
        };
        Placer {
            zone: zone.to_owned(),
            timing,
            inner: Mutex::new(inner),
            news: watch::Sender::default(),
            waiters: Semaphore::new(MOST_WAITING),
        }
    }

    /// Brings the services and their targets in line with the table and what
    /// targets told.
    pub(crate) fn follow(&self, table: &Table, known: &[KnownTarget], now: Instant) {
        let mut inner = self.inner();
        let named = |name: &str| table.service(name).is_some();
        inner.services.retain(|name, _| named(name));
        let routes: BTreeSet<&str> = table.routes().iter().map(|r| r.name.as_str()).collect();
        inner.used.retain(|name, _| routes.contains(name.as_str()));
        for service in table.services() {
            let fresh = || ServiceTargets::new(service, self.timing.retry_after_full, now);
            let held = inner
                .services
                .entry(service.name.clone())
                .or_insert_with(fresh);
            let own = known
                .iter()
                .filter(|known| known.told.service == service.name);
            held.follow(own, &self.zone, self.timing.idle_connection, now);
        }
        drop(inner);
        self.news.send_replace(());
    }

    /// Of each service the targets that take work, and all.
    pub(crate) fn counts(&self) -> Vec<(String, usize, usize)> {
        let inner = self.inner();
        let services = inner.services.iter();
        let counted = services.map(|(name, held)| {
            let able = held.set.available();
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
        let trial = held.set.next_trial().filter(|at| *at > now);
        Some(trial.map_or(until, |at| at.min(until)))
    }

    /// Takes a place at the best target that wasn't tried.
    pub(crate) fn place(
        self: &Arc<Placer>,
        service: &str,
        left: Duration,
        tried: &[TargetKey],
        now: Instant,
    ) -> Result<Permit, PlacementError> {
        let mut inner = self.inner();
        let Inner { rng, services, .. } = &mut *inner;
        let held = services.get_mut(service).ok_or(PlacementError::Absent)?;
        let Some(key) = held.set.choose_in(left, tried, now, rng) else {
            if held.set.has_available() {
                return Err(PlacementError::Full);
            }
            held.absent.get_or_insert(now);
            return Err(PlacementError::Absent);
        };
        if held.set.has_available() {
            held.absent = None;
        }
        let (endpoint, seen) = held.start(key, now).ok_or(PlacementError::Absent)?;
        drop(inner);
        Ok(Permit::new(Arc::clone(self), service, key, endpoint, seen))
    }

    /// Takes a place for a stream that leaves a slow target.
    pub(crate) fn place_to_move(
        self: &Arc<Placer>,
        service: &str,
        tried: &[TargetKey],
        now: Instant,
    ) -> Option<Permit> {
        let mut inner = self.inner();
        let Inner { rng, services, .. } = &mut *inner;
        let held = services.get_mut(service)?;
        let key = held.set.choose_to_move(tried, now, rng)?;
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
        held.map_or(self.timing.retry_after_full, |held| {
            held.returns.next(most, now)
        })
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
            held.budget.has_one(now) && held.set.choose_in(left, tried, now, rng).is_some()
        })
    }

    /// Whether a stream should leave its target for one that has room.
    pub(crate) fn sheds(&self, service: &str, key: TargetKey, now: Instant) -> bool {
        let mut inner = self.inner();
        let Inner { rng, services, .. } = &mut *inner;
        services.get_mut(service).is_some_and(|held| {
            held.set.sheds(key)
                && held.budget.has_one(now)
                && held.set.choose_to_move(&[key], now, rng).is_some()
        })
    }

    pub(crate) fn told(&self, service: &str, key: TargetKey, load: ReportedLoad, now: Instant) {
        if let Some(held) = self.inner().services.get_mut(service) {
            held.set.told(key, load, now);
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
            held.set.paused(key, pause, most, now);
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
            held.set.end(key, outcome, now);
            if !matches!(outcome, Outcome::Declined | Outcome::Replaced) {
                held.returns.ended(now);
            }
            if outcome == Outcome::Answered {
                held.set.ran(time);
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
        // Nothing under the lock can panic half-way.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
