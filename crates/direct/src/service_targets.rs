//! The targets of one service, with their retry budget and connections.

use crate::dialect::{KeepAlive, ResponseInfo};
use crate::entry_place::{EntryPlace, cold_until};
use crate::outage::ServiceOutage;
use crate::timing::Timing;
use crate::waiting::WaitingRequests;
use member::{Evacuation, Presence};
use node::KnownTarget;
use outlet::{ClientSettings, Connection, Pool};
use rand::Rng;
use route::{
    Departures, LoadEstimate, Locality, Rests, RetryAfterSchedule, RetryBudget, StepTimeModel,
    TargetKey, TargetSet, TargetSetSettings, zone_subset,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use table::ColdStart;

/// Retries per request. Targets of a service can take a fifth more requests; the
/// rest is left to callers that retry by themselves.
const RETRY_RATIO: f64 = 0.15;
/// Retries of an entry that has just started.
const RETRIES_AT_START: u32 = 1;
/// Requests that may queue at a model engine per slot, however much time they
/// have left.
const ENGINE_QUEUE_PER_SLOT: f64 = 0.15;
/// Maximum number of targets of a service of which each entry uses all alike. It
/// exchanges enough requests with each of them to know their load.
const MAX_UNDIVIDED_TARGETS: usize = 32;
/// Maximum number of idle connections kept per target.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Time without a heartbeat after which a target gets no new requests: five
/// heartbeat intervals.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(6);

/// The targets of one service, with their retry budget and connections.
#[derive(Debug)]
pub(crate) struct ServiceTargets {
    pub(crate) set: TargetSet,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) retry_schedule: RetryAfterSchedule,
    pub(crate) endpoints: BTreeMap<String, (TargetKey, Endpoint)>,
    cold_start: Option<ColdStart>,
    /// Since when requests have found no available target.
    pub(crate) unavailable_since: Option<Instant>,
    /// Requests that wait for a slot, if requests of the service have different
    /// priorities.
    pub(crate) waiting: Option<WaitingRequests>,
    /// Outages of the service, if requests of the service have different priorities.
    pub(crate) outage: Option<ServiceOutage>,
}

/// Address and connections of a target.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) id: String,
    /// Start time of the target's process in Unix milliseconds.
    pub(crate) started_ms: u64,
    pub(crate) address: SocketAddr,
    pub(crate) locality: Locality,
    pub(crate) pool: Arc<Pool>,
}

impl ServiceTargets {
    pub(crate) fn new(
        service: &table::Service,
        min_retry_after: Duration,
        now: Instant,
    ) -> ServiceTargets {
        ServiceTargets {
            set: TargetSet::new(tuning(service)),
            retry_budget: RetryBudget::new(RETRY_RATIO, RETRIES_AT_START, now),
            retry_schedule: RetryAfterSchedule::new(min_retry_after),
            endpoints: BTreeMap::new(),
            cold_start: service.cold_start,
            unavailable_since: None,
            waiting: None,
            outage: None,
        }
    }

    /// Sets whether requests of the service have different priorities. If they no longer
    /// have, those that wait go on as if they had just arrived.
    pub(crate) fn set_has_priorities(&mut self, has_priorities: bool) {
        if !has_priorities {
            self.waiting = None;
            self.outage = None;
        } else if self.waiting.is_none() {
            self.waiting = Some(WaitingRequests::new());
        }
    }

    /// Counts a new request at a target, and returns the load known before it.
    pub(crate) fn start_request(
        &mut self,
        key: TargetKey,
        now: Instant,
    ) -> Option<(Endpoint, Option<LoadEstimate>)> {
        let mut endpoints = self.endpoints.values();
        let (_, endpoint) = endpoints.find(|(known, _)| *known == key)?;
        let load = self.set.load_estimate(key, now);
        self.set.start(key, now);
        if let Some(outage) = &mut self.outage {
            outage.record_start(now);
        }
        Some((endpoint.clone(), load))
    }

    /// Adds, removes and updates targets according to the known ones.
    pub(crate) fn update<'a>(
        &mut self,
        known: impl Iterator<Item = &'a KnownTarget>,
        entry: &EntryPlace<'_>,
        idle_timeout: Duration,
        now: Instant,
    ) {
        let zone = entry.zone;
        let mut present = BTreeSet::new();
        let mut slowdowns = Vec::new();
        let known: Vec<&KnownTarget> = known.collect();
        let since_heartbeat =
            |known: &KnownTarget| now.saturating_duration_since(known.received_at);
        // If control is unreachable, no heartbeats arrive from any target, and
        // their absence says nothing about the targets.
        let any_heard = known
            .iter()
            .any(|known| since_heartbeat(known) < HEARTBEAT_TIMEOUT);
        for known in known {
            let sighting = &known.report;
            let moved = |endpoint: &Endpoint| {
                endpoint.address != sighting.address || endpoint.started_ms != sighting.started_ms
            };
            if self
                .endpoints
                .get(&sighting.id)
                .is_some_and(|(_, endpoint)| moved(endpoint))
            {
                self.remove(&sighting.id);
            }
            if !self.endpoints.contains_key(&sighting.id) {
                self.insert(known, zone, idle_timeout);
            }
            let Some((key, _)) = self.endpoints.get(&sighting.id) else {
                continue;
            };
            let is_stale = any_heard && since_heartbeat(known) >= HEARTBEAT_TIMEOUT;
            let is_evacuated = known.evacuation == Evacuation::Active;
            let open = sighting.presence == Presence::Ready && !is_stale && !is_evacuated;
            self.set.set_accepting(*key, open);
            if let Some(cold_start) = &self.cold_start {
                let until = cold_until(known, cold_start);
                let share = entry.cold_share(known, cold_start);
                self.set.set_cold(*key, until, share, now);
            }
            self.set.record_announcement(*key, known.received_at);
            slowdowns.push((*key, known.slowdown));
            present.insert(sighting.id.clone());
        }
        self.set.set_slowdowns(&slowdowns);
        let removed: Vec<String> = self
            .endpoints
            .keys()
            .filter(|id| !present.contains(*id))
            .cloned()
            .collect();
        for id in removed {
            self.remove(&id);
        }
    }

    /// Selects the targets that this entry prefers, at position `own` among the
    /// `entries` entries of its zone.
    pub(crate) fn update_preferred(&mut self, own: usize, entries: usize) {
        let in_zone = self.endpoints.values();
        let in_zone = in_zone.filter(|(_, e)| e.locality == Locality::SameZone);
        let in_zone: Vec<TargetKey> = in_zone.map(|(key, _)| *key).collect();
        self.set.clear_preferred();
        if self.endpoints.len() <= MAX_UNDIVIDED_TARGETS {
            return;
        }
        let subset = zone_subset(own, entries, in_zone.len());
        for position in subset.targets {
            if let Some(key) = in_zone.get(position) {
                self.set.prefer(*key, subset.entries_per_target);
            }
        }
    }

    /// Sets the limits that targets name. Shares of them depend on how many entries there
    /// are and which targets this one prefers.
    pub(crate) fn update_limits(
        &mut self,
        known: &[KnownTarget],
        now: Instant,
        rng: &mut impl Rng,
    ) {
        for known in known {
            if let Some((key, _)) = self.endpoints.get(&known.report.id) {
                self.set.set_limit(*key, known.limit, now, rng);
            }
        }
    }

    /// Lets targets that were not known for a while keep the rest that they have asked for.
    pub(crate) fn apply_rests(&mut self, rests: &Rests) {
        for (id, (key, endpoint)) in &self.endpoints {
            if let Some(until) = rests.until(id, endpoint.started_ms) {
                self.set.set_rest(*key, until);
            }
        }
    }

    /// Gives no new requests to targets that have said that they leave.
    pub(crate) fn apply_departures(&mut self, departures: &Departures) {
        for (id, (key, endpoint)) in &self.endpoints {
            let leaving = departures.contains(id, endpoint.started_ms);
            self.set.set_leaving(*key, leaving);
        }
    }

    fn insert(&mut self, known: &KnownTarget, zone: &str, idle_timeout: Duration) {
        let sighting = &known.report;
        let distance = if sighting.zone == zone {
            Locality::SameZone
        } else {
            Locality::OtherZone
        };
        let key = self.set.insert(sighting.slots, distance);
        let endpoint = Endpoint {
            id: sighting.id.clone(),
            started_ms: sighting.started_ms,
            address: sighting.address,
            locality: distance,
            pool: Arc::new(Pool::new(MAX_IDLE_CONNECTIONS, idle_timeout)),
        };
        self.endpoints.insert(sighting.id.clone(), (key, endpoint));
    }

    fn remove(&mut self, id: &str) {
        if let Some((key, endpoint)) = self.endpoints.remove(id) {
            self.set.remove(key);
            endpoint.pool.clear();
        }
    }
}

/// Requests of a service without an engine take a fifth of their latency
/// objective, so one per slot may queue. Streams take several times their
/// objective, so far fewer may.
fn tuning(service: &table::Service) -> TargetSetSettings {
    let Some(engine) = service.engine else {
        return TargetSetSettings::default();
    };
    TargetSetSettings {
        queue_per_slot: ENGINE_QUEUE_PER_SLOT,
        step_time: Some(StepTimeModel::new(
            engine.base_step,
            engine.step_per_request,
        )),
        ..TargetSetSettings::default()
    }
}

/// Returns a connection to the pool after a complete response, unless the target
/// closes it.
pub(crate) fn return_connection(
    endpoint: &Endpoint,
    mut conn: Connection,
    info: &ResponseInfo,
    timing: &Timing,
) {
    match info.keep_alive {
        KeepAlive::Close => return,
        KeepAlive::Timeout(time) if time < timing.idle_connection => return,
        KeepAlive::Timeout(_) | KeepAlive::Unspecified => {}
    }
    let cfg = ClientSettings {
        connect_timeout: timing.connect,
        head_timeout: timing.inactivity,
        progress_timeout: timing.inactivity,
        request_timeout: timing.inactivity,
    };
    match conn.prepare_for_reuse(&cfg) {
        Ok(()) => endpoint.pool.put(conn, Instant::now()),
        Err(e) => log::debug!(
            "connection to {} not returned to the pool: {e}",
            endpoint.address
        ),
    }
}
