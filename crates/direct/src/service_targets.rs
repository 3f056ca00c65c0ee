//! The targets of one service, with what bounds requests to them.

use crate::dialect::{KeepAlive, ResponseInfo};
use crate::timing::Timing;
use member::Presence;
use node::KnownTarget;
use outlet::{ClientSettings, Connection, Pool};
use route::{
    Distance, LoadEstimate, Pace, RetryBudget, ReturnSchedule, TargetKey, TargetSet,
    TargetSetTuning,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

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
/// Requests that may wait at a model engine for each of its slots, however much
/// time they have.
const ENGINE_WAITING: f64 = 0.15;
/// Connections to a target that are kept.
const MOST_KEPT: usize = 16;
/// Silence after which a target gets no new work: five check-ins of it.
const SILENT: Duration = Duration::from_secs(6);

/// The targets of one service, with what bounds requests to them.
#[derive(Debug)]
pub(crate) struct ServiceTargets {
    pub(crate) set: TargetSet,
    pub(crate) budget: RetryBudget,
    pub(crate) returns: ReturnSchedule,
    pub(crate) endpoints: BTreeMap<String, (TargetKey, Endpoint)>,
    /// Since when requests have found no target that takes work.
    pub(crate) absent: Option<Instant>,
}

/// How a target is reached.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) pool: Arc<Pool>,
}

impl ServiceTargets {
    pub(crate) fn new(
        service: &table::Service,
        retry_full: Duration,
        now: Instant,
    ) -> ServiceTargets {
        ServiceTargets {
            set: TargetSet::new(tuning(service)),
            budget: RetryBudget::new(RETRY_RATIO, RETRY_RESERVE, now)
                .bounded(RETRY_EARNED, RETRY_REFILL),
            returns: ReturnSchedule::new(retry_full),
            endpoints: BTreeMap::new(),
            absent: None,
        }
    }

    /// Begins a request at a target.
    pub(crate) fn start(
        &mut self,
        key: TargetKey,
        now: Instant,
    ) -> Option<(Endpoint, Option<LoadEstimate>)> {
        let mut endpoints = self.endpoints.values();
        let (_, endpoint) = endpoints.find(|(known, _)| *known == key)?;
        let seen = self.set.seen(key, now);
        self.set.start(key);
        Some((endpoint.clone(), seen))
    }

    pub(crate) fn follow<'a>(
        &mut self,
        known: impl Iterator<Item = &'a KnownTarget>,
        zone: &str,
        kept: Duration,
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
                self.insert(known, zone, kept);
            }
            let Some((key, _)) = self.endpoints.get(&told.id) else {
                continue;
            };
            let silent = heard_any && silence(known) >= SILENT;
            let open = told.presence == Presence::Ready && !silent;
            self.set.set_open(*key, open);
            self.set.heard(*key, known.heard);
            slowdowns.push((*key, known.slowdown));
            stays.insert(told.id.clone());
        }
        self.set.set_slowdowns(&slowdowns);
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

    fn insert(&mut self, known: &KnownTarget, zone: &str, kept: Duration) {
        let told = &known.told;
        let distance = if told.zone == zone {
            Distance::Near
        } else {
            Distance::Far
        };
        let key = self.set.insert(told.slots, distance);
        let endpoint = Endpoint {
            id: told.id.clone(),
            address: told.address,
            pool: Arc::new(Pool::new(MOST_KEPT, kept)),
        };
        self.endpoints.insert(told.id.clone(), (key, endpoint));
    }

    fn remove(&mut self, id: &str) {
        if let Some((key, endpoint)) = self.endpoints.remove(id) {
            self.set.remove(key);
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
pub(crate) fn keep(
    endpoint: &Endpoint,
    mut conn: Connection,
    reading: &ResponseInfo,
    timing: &Timing,
) {
    match reading.keep_alive {
        KeepAlive::Close => return,
        KeepAlive::Timeout(time) if time < timing.idle_connection => return,
        KeepAlive::Timeout(_) | KeepAlive::Unspecified => {}
    }
    let cfg = ClientSettings {
        connect: timing.connect,
        head: timing.inactivity,
        progress: timing.inactivity,
        question: timing.inactivity,
    };
    match conn.keep(&cfg) {
        Ok(()) => endpoint.pool.put(conn, Instant::now()),
        Err(e) => log::debug!("connection to {} isn't kept: {e}", endpoint.address),
    }
}
