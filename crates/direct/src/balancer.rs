//! Chooses targets for the requests of all services.

use crate::entry_place::EntryPlace;
use crate::outage_metrics::OutageMetrics;
use crate::permit::Permit;
use crate::proxy::{ProxySettings, RetryTolerance};
use crate::service_targets::{Endpoint, ServiceTargets};
use crate::timing::Timing;
use node::KnownTarget;
use rand::RngExt;
use rand::rngs::SmallRng;
use route::{Departures, DispatchOutcome, ElapsedWait, ReportedLoad, Rests, TargetKey, rest_end};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use table::Table;
use tokio::sync::{Notify, Semaphore, SemaphorePermit, watch};

/// Maximum number of requests that wait for a route table or target. With four
/// entries this is about what the targets of a service can start at once when
/// they become available.
const MAX_WAITING_REQUESTS: usize = 64;

/// Chooses targets for the requests of all services, as listed in the route table
/// and the member board.
#[derive(Debug)]
pub(crate) struct Balancer {
    name: String,
    zone: String,
    pub(crate) timing: Timing,
    retry_tolerance: RetryTolerance,
    inner: Mutex<Inner>,
    /// Notified when targets or the route table may have changed.
    changes: watch::Sender<()>,
    waiting: Semaphore,
    /// Notified when requests wait again, and when the balancer is dropped.
    pub(crate) queue_timer: Arc<Notify>,
    pub(crate) outage_metrics: OutageMetrics,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) rng: SmallRng,
    pub(crate) services: BTreeMap<String, ServiceTargets>,
    /// Per route, the time that callers spent on earlier attempts.
    time_used: BTreeMap<String, ElapsedWait>,
    rests: Rests,
    departures: Departures,
}

/// What the head of a response says about its target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeadReport {
    /// When the request was sent.
    pub(crate) sent: Instant,
    pub(crate) load: Option<ReportedLoad>,
    /// How long the target wants no more requests.
    pub(crate) rest: Option<Duration>,
    /// Whether the target says that it leaves.
    pub(crate) leaving: bool,
    /// Whether the target has accepted the request.
    pub(crate) accepted: bool,
}

/// What control has told of targets and entries.
#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) targets: Vec<KnownTarget>,
    /// The entries in the zone of this one.
    pub(crate) zone_entries: BTreeSet<String>,
    /// Number of entries in all zones, if it is known.
    pub(crate) entries: Option<u32>,
}

/// Why no target could be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcquireError {
    /// No target is available.
    NoTarget,
    /// All available targets are full or were tried.
    Full,
}

impl Balancer {
    pub(crate) fn new(cfg: &ProxySettings) -> Balancer {
        let inner = Inner {
            rng: rand::make_rng(),
            services: BTreeMap::new(),
            time_used: BTreeMap::new(),
            rests: Rests::default(),
            departures: Departures::default(),
        };
        Balancer {
            name: cfg.name.clone(),
            zone: cfg.zone.clone(),
            timing: cfg.timing.clone(),
            retry_tolerance: cfg.retry_tolerance,
            inner: Mutex::new(inner),
            changes: watch::Sender::default(),
            waiting: Semaphore::new(MAX_WAITING_REQUESTS),
            queue_timer: Arc::default(),
            outage_metrics: OutageMetrics::default(),
        }
    }

    /// Updates the services and their targets from the route table and from what control
    /// has told of targets and entries.
    pub(crate) fn update(self: &Arc<Balancer>, table: &Table, known: &Known, now: Instant) {
        let place = EntryPlace {
            name: &self.name,
            zone: &self.zone,
            zone_entries: &known.zone_entries,
        };
        let retry_limits = self.retry_tolerance.of_entry(known.entries);
        let mut inner = self.inner();
        let Inner {
            rng,
            services,
            time_used,
            rests,
            departures,
        } = &mut *inner;
        rests.expire(now);
        departures.expire(now);
        services.retain(|name, _| table.service(name).is_some());
        let routes: BTreeSet<&str> = table.routes().iter().map(|r| r.name.as_str()).collect();
        time_used.retain(|name, _| routes.contains(name.as_str()));
        for service in table.services() {
            let create = || ServiceTargets::new(service, self.timing.retry_after_full, now);
            let targets = services.entry(service.name.clone()).or_insert_with(create);
            let of_service = known
                .targets
                .iter()
                .filter(|known| known.report.service == service.name);
            targets.update(of_service, &place, self.timing.idle_connection, now);
            targets.set_has_priorities(table.has_priorities(&service.name));
            self.follow_outages(&service.name, targets);
            targets.apply_rests(rests);
            targets.apply_departures(departures);
            targets.retry_budget.set_limits(&retry_limits, now);
            targets.set.set_entries(known.entries);
            if let Some(own) = place.position() {
                targets.update_preferred(own, known.zone_entries.len());
            }
            targets.update_limits(&known.targets, now, rng);
            targets.observe_outage(now);
        }
        drop(inner);
        self.changes.send_replace(());
        self.drain_queues(now);
    }

    /// For each service: its name, the number of available targets, and of all.
    pub(crate) fn target_counts(&self) -> Vec<(String, usize, usize)> {
        let inner = self.inner();
        let services = inner.services.iter();
        let counts = services.map(|(name, targets)| {
            let available = targets.set.available_count();
            (name.clone(), available, targets.endpoints.len())
        });
        counts.collect()
    }

    /// Notified when targets may have changed.
    pub(crate) fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// A slot for a waiting request; none if [`MAX_WAITING_REQUESTS`] wait already.
    pub(crate) fn waiting_slot(&self) -> Option<SemaphorePermit<'_>> {
        self.waiting.try_acquire().ok()
    }

    /// Until when a request to a service without available targets waits before
    /// the next try; none if it should be refused at once.
    pub(crate) fn wait_until(
        &self,
        service: &str,
        deadline: Instant,
        now: Instant,
    ) -> Option<Instant> {
        let inner = self.inner();
        let targets = inner.services.get(service)?;
        let absence = &self.timing.absence;
        let until = absence.wait_until(targets.unavailable_since?, deadline, now)?;
        let trial = targets.set.next_probe().filter(|at| *at > now);
        Some(trial.map_or(until, |at| at.min(until)))
    }

    /// Acquires a slot of the best target that was not tried yet. `left` is the
    /// time until the response must start.
    pub(crate) fn acquire(
        self: &Arc<Balancer>,
        service: &str,
        left: Duration,
        tried: &[TargetKey],
        now: Instant,
    ) -> Result<Permit, AcquireError> {
        let mut inner = self.inner();
        let Inner { rng, services, .. } = &mut *inner;
        let targets = services.get_mut(service).ok_or(AcquireError::NoTarget)?;
        let chosen = if targets.outage.is_some() {
            let may_start = targets.may_start(now);
            may_start.then(|| targets.set.choose_first(left, tried, now, rng))
        } else {
            Some(targets.set.choose_within(left, tried, now, rng))
        };
        let Some(key) = chosen.flatten() else {
            if targets.set.has_available() && targets.outage_left(now).is_none() {
                return Err(AcquireError::Full);
            }
            targets.unavailable_since.get_or_insert(now);
            return Err(AcquireError::NoTarget);
        };
        if targets.set.has_available() {
            targets.unavailable_since = None;
        }
        let (endpoint, load) = targets
            .start_request(key, now)
            .ok_or(AcquireError::NoTarget)?;
        drop(inner);
        Ok(Permit::new(Arc::clone(self), service, key, endpoint, load))
    }

    /// Acquires a slot for a stream that moves away from a slow target.
    pub(crate) fn acquire_for_move(
        self: &Arc<Balancer>,
        service: &str,
        tried: &[TargetKey],
        now: Instant,
    ) -> Option<Permit> {
        let mut inner = self.inner();
        let Inner { rng, services, .. } = &mut *inner;
        let targets = services.get_mut(service)?;
        let key = targets.set.choose_for_migration(tried, now, rng)?;
        let (endpoint, load) = targets.start_request(key, now)?;
        drop(inner);
        Some(Permit::new(Arc::clone(self), service, key, endpoint, load))
    }

    /// How much time a caller of a route has spent on earlier attempts, given that
    /// it now waits for `timeout`.
    pub(crate) fn time_used(&self, route: &str, timeout: Duration, now: Instant) -> Duration {
        let mut inner = self.inner();
        if !inner.time_used.contains_key(route) {
            inner
                .time_used
                .insert(route.to_owned(), ElapsedWait::new(now));
        }
        let used = inner.time_used.get_mut(route);
        used.map_or(Duration::ZERO, |used| used.observe(timeout, now))
    }

    /// Whether a stream should move from its target to one with a free slot.
    pub(crate) fn should_move(&self, service: &str, key: TargetKey, now: Instant) -> bool {
        let mut inner = self.inner();
        let Inner { rng, services, .. } = &mut *inner;
        services.get_mut(service).is_some_and(|targets| {
            targets.set.should_migrate_streams(key)
                && targets.retry_budget.can_withdraw(now)
                && targets.set.choose_for_migration(&[key], now, rng).is_some()
        })
    }

    /// Records what the head of a response says about the target.
    pub(crate) fn record_head(
        self: &Arc<Balancer>,
        service: &str,
        (key, endpoint): (TargetKey, &Endpoint),
        head: &HeadReport,
        now: Instant,
    ) {
        let mut inner = self.inner();
        let Inner {
            rng,
            services,
            rests,
            departures,
            ..
        } = &mut *inner;
        let rest = head.rest.map(|rest| rest_end(rest, rng.random(), now));
        if let Some(until) = rest {
            rests.record(&endpoint.id, endpoint.started_ms, until);
        }
        if head.leaving && departures.record(&endpoint.id, endpoint.started_ms, now) {
            log::info!(target_id = endpoint.id.as_str(); "target says that it leaves");
        }
        let Some(targets) = services.get_mut(service) else {
            return;
        };
        if head.leaving {
            targets.set.set_leaving(key, true);
        }
        if let Some(load) = head.load {
            targets.set.report_load(key, load, now);
        }
        if let Some(until) = rest {
            targets.set.set_rest(key, until);
        } else if head.accepted {
            targets.set.record_accepted(key, head.sent);
        }
        if let Some(waiting) = targets.waiting.as_mut().filter(|_| head.accepted) {
            waiting.record_head_time(now.saturating_duration_since(head.sent));
            targets.record_serving(key, head.sent, head.load.is_some(), now);
        }
        drop(inner);
        self.drain_queue(service, now);
    }

    /// Records the pause between two events of a stream, and the longest pause
    /// that is still on time.
    pub(crate) fn record_pause(
        &self,
        service: &str,
        key: TargetKey,
        (pause, max_pause): (Duration, Duration),
        now: Instant,
    ) {
        if let Some(targets) = self.inner().services.get_mut(service) {
            targets.set.record_pause(key, pause, max_pause, now);
        }
    }

    /// Releases the slot of a request that was sent `time` ago.
    pub(crate) fn finish(
        self: &Arc<Balancer>,
        service: &str,
        key: TargetKey,
        (outcome, time): (DispatchOutcome, Duration),
        now: Instant,
    ) {
        if let Some(targets) = self.inner().services.get_mut(service) {
            targets.set.end(key, outcome, now);
            targets.observe_outage(now);
            if let Some(sent) = now.checked_sub(time) {
                targets.set.record_trial_end(key, sent);
            }
            if !matches!(
                outcome,
                DispatchOutcome::Declined | DispatchOutcome::Replaced
            ) {
                targets.retry_schedule.record_completion(now);
            }
            if outcome == DispatchOutcome::Answered {
                targets.set.record_duration(time);
            }
        }
        if outcome == DispatchOutcome::Declined {
            // The declined request may have been the only one let through to test
            // the target; requests that wait for its outcome are woken.
            self.changes.send_replace(());
        }
        self.drain_queue(service, now);
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn close_idle_connections(&self, now: Instant) {
        let inner = self.inner();
        let endpoints = inner
            .services
            .values()
            .flat_map(|targets| targets.endpoints.values());
        for (_, endpoint) in endpoints {
            endpoint.pool.evict_expired(now);
        }
    }

    pub(crate) fn inner(&self) -> MutexGuard<'_, Inner> {
        // No code that holds the lock can panic and leave the state inconsistent.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.queue_timer.notify_one();
    }
}
