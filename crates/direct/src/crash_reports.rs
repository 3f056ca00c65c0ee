//! Finds out which requests crash targets, and shares that with the other entries.

use crate::metrics::Metrics;
use crate::probe::{CLOSE_TIME, Probe, probe};
use crate::service_targets::Endpoint;
use crate::successor::has_successor;
use bytes::Bytes;
use node::Watcher;
use route::{CrashGuard, CrashedRequest, Features, Fingerprint, SharedTally};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;
use wire::proto::{self, Completed, Crashed, Quarantine, command};

/// Maximum number of broken connections that wait to be examined, and of completed requests
/// that wait to be reported.
const MAX_QUEUED: usize = 1024;
/// Maximum number of requests that a log line names.
const MAX_LOGGED: usize = 32;
/// How long this entry tries to tell control of a crash.
const REPORT_TIMEOUT: Duration = Duration::from_mins(1);

/// Finds out which requests crash targets. Clones share their state.
#[derive(Clone, Debug)]
pub(crate) struct CrashReports {
    guard: Arc<Mutex<CrashGuard>>,
    broken: mpsc::Sender<BrokenAttempt>,
    cleared: mpsc::Sender<Fingerprint>,
}

/// A request whose connection to its target broke.
#[derive(Debug)]
struct BrokenAttempt {
    target: Incarnation,
    address: SocketAddr,
    features: Features,
    /// Receives whether the target crashed; dropped if it did not.
    crashed: oneshot::Sender<()>,
}

/// One run of a target's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Incarnation {
    id: String,
    started_ms: u64,
}

/// The requests whose connections to one target broke together.
struct Suspects {
    address: SocketAddr,
    requests: BTreeMap<Fingerprint, Features>,
    crashed: Vec<oneshot::Sender<()>>,
}

impl CrashReports {
    /// Starts to follow the verdicts that control sends to the watcher.
    pub(crate) fn spawn(watcher: Watcher, metrics: Metrics) -> CrashReports {
        let (broken, broken_rx) = mpsc::channel(MAX_QUEUED);
        let (cleared, cleared_rx) = mpsc::channel(MAX_QUEUED);
        let reports = CrashReports {
            guard: Arc::default(),
            broken,
            cleared,
        };
        let guard = Arc::clone(&reports.guard);
        tokio::spawn(follow_verdicts(
            watcher.clone(),
            Arc::clone(&guard),
            reports.cleared.clone(),
        ));
        tokio::spawn(report_cleared(watcher.clone(), cleared_rx));
        tokio::spawn(examine(watcher, guard, metrics, broken_rx));
        reports
    }

    /// Records that a caller has sent a request.
    pub(crate) fn record_arrival(&self, features: &Features) {
        lock(&self.guard).record_arrival(features);
    }

    /// Whether the request is refused, because targets crash under it.
    pub(crate) fn must_refuse(&self, features: &Features) -> bool {
        lock(&self.guard).must_refuse(features, Instant::now())
    }

    /// Whether several targets have crashed under the request.
    pub(crate) fn is_suspect(&self, features: &Features) -> bool {
        lock(&self.guard).is_suspect(features, Instant::now())
    }

    /// Records that a target has completed a request that it was sent at `started`.
    pub(crate) fn record_completion(&self, features: &Features, started: Instant) {
        let cleared = lock(&self.guard).record_completion(features, started, Instant::now());
        for feature in cleared {
            // Control is told again with its next news otherwise.
            let _ = self.cleared.try_send(feature);
        }
    }

    /// Finds out whether the target of a request crashed, given that its connection ended.
    /// Returns once that is known, so that the request is not sent again before.
    pub(crate) async fn has_crashed(&self, features: &Features, endpoint: &Endpoint) -> bool {
        let (crashed, known) = oneshot::channel();
        let attempt = BrokenAttempt {
            target: Incarnation {
                id: endpoint.id.clone(),
                started_ms: endpoint.started_ms,
            },
            address: endpoint.address,
            features: features.clone(),
            crashed,
        };
        self.broken.try_send(attempt).is_ok() && known.await.is_ok()
    }
}

async fn examine(
    watcher: Watcher,
    guard: Arc<Mutex<CrashGuard>>,
    metrics: Metrics,
    mut broken: mpsc::Receiver<BrokenAttempt>,
) {
    while let Some(first) = broken.recv().await {
        sleep(CLOSE_TIME).await;
        let mut by_target: BTreeMap<Incarnation, Suspects> = BTreeMap::new();
        let mut next = Some(first);
        while let Some(attempt) = next {
            let suspects = by_target.entry(attempt.target).or_insert_with(|| Suspects {
                address: attempt.address,
                requests: BTreeMap::new(),
                crashed: Vec::new(),
            });
            let features = attempt.features;
            suspects.requests.insert(features.request, features);
            suspects.crashed.push(attempt.crashed);
            next = broken.try_recv().ok();
        }
        for (target, mut suspects) in by_target {
            let (watcher, guard) = (watcher.clone(), Arc::clone(&guard));
            let metrics = metrics.clone();
            tokio::spawn(async move {
                let probe = probe(suspects.address).await;
                if probe == Probe::Refused {
                    report_crash(watcher, guard, metrics, target, suspects).await;
                    return;
                }
                log_not_crashed(&target, &suspects, probe);
                // The requests go on at once; a crash that shows later still counts against them.
                suspects.crashed.clear();
                if has_successor(&watcher, &target.id, target.started_ms).await {
                    report_crash(watcher, guard, metrics, target, suspects).await;
                }
            });
        }
    }
}

fn log_not_crashed(target: &Incarnation, suspects: &Suspects, probe: Probe) {
    log::info!(
        target_id = target.id.as_str(), address:display = suspects.address,
        requests = suspects.requests.len(),
        digests = digests(suspects.requests.keys()).as_str(), probe:debug = probe;
        "connections broke, target not taken for crashed"
    );
}

/// Short forms of the first fingerprints, for the log.
fn digests<'a>(fingerprints: impl Iterator<Item = &'a Fingerprint>) -> String {
    let digests: Vec<String> = fingerprints
        .take(MAX_LOGGED)
        .map(Fingerprint::short)
        .collect();
    digests.join(",")
}

async fn report_crash(
    watcher: Watcher,
    guard: Arc<Mutex<CrashGuard>>,
    metrics: Metrics,
    target: Incarnation,
    suspects: Suspects,
) {
    let Incarnation { id, started_ms } = target;
    let ran: Vec<Features> = suspects.requests.values().cloned().collect();
    let report = lock(&guard).record_crash(&id, started_ms, &ran, Instant::now());
    for crashed in suspects.crashed {
        // Nobody waits for it any more if the request has timed out.
        let _ = crashed.send(());
    }
    metrics.target_crashes.inc();
    log::warn!(
        target_id = id.as_str(), address:display = suspects.address, requests = ran.len(),
        suspect = report.requests.len(),
        digests = digests(suspects.requests.keys()).as_str();
        "target crashed"
    );
    if report.requests.is_empty() {
        return;
    }
    let suspicious = report
        .requests
        .iter()
        .filter(|request| !request.has_completed);
    let crashed = Crashed {
        target: id.clone(),
        incarnation: report.incarnation,
        fingerprints: encode(suspicious.map(|request| &request.features.request)),
        requests: report.requests.iter().map(encode_request).collect(),
    };
    let command = command::Body::SharedTargetCrashed(crashed);
    if watcher.propose(command, REPORT_TIMEOUT).await {
        lock(&guard).confirm_report(&id, report.incarnation);
    } else {
        log::warn!(target_id = id.as_str(); "crash not reported to control");
    }
}

/// Tells control of requests that have completed although targets crashed under them.
async fn report_cleared(watcher: Watcher, mut cleared: mpsc::Receiver<Fingerprint>) {
    while let Some(first) = cleared.recv().await {
        let mut requests = BTreeSet::from([first]);
        while let Ok(next) = cleared.try_recv() {
            requests.insert(next);
        }
        log::info!(
            digests = digests(requests.iter()).as_str();
            "cleared: targets have completed what others crashed under"
        );
        let completed = Completed {
            fingerprints: encode(requests.iter()),
        };
        let command = command::Body::Completed(completed);
        if !watcher.propose(command, REPORT_TIMEOUT).await {
            log::warn!(requests = requests.len(); "completed requests not reported to control");
        }
    }
}

async fn follow_verdicts(
    watcher: Watcher,
    guard: Arc<Mutex<CrashGuard>>,
    cleared: mpsc::Sender<Fingerprint>,
) {
    let mut verdicts = watcher.state().quarantine();
    loop {
        let shared = shared_tally(&verdicts.borrow_and_update());
        if !shared.suspects.is_empty() || !shared.convicted.is_empty() {
            log::info!(
                version = shared.version, suspects = digests(shared.suspects.iter()).as_str(),
                convicted = digests(shared.convicted.iter()).as_str();
                "suspect and convicted requests and parts"
            );
        }
        let completed = lock(&guard).apply(shared, Instant::now());
        for request in completed {
            // Those left out are cleared at their next completion.
            let _ = cleared.try_send(request);
        }
        if verdicts.changed().await.is_err() {
            return;
        }
    }
}

fn shared_tally(verdicts: &Quarantine) -> SharedTally {
    let decode = |fingerprints: &[Bytes]| -> BTreeSet<Fingerprint> {
        let parsed = fingerprints.iter().map(|f| Fingerprint::from_slice(f));
        parsed.flatten().collect()
    };
    SharedTally {
        version: verdicts.version,
        suspects: decode(&verdicts.suspects),
        watched: decode(&verdicts.watched),
        convicted: decode(&verdicts.convicted),
    }
}

fn encode<'a>(features: impl Iterator<Item = &'a Fingerprint>) -> Vec<Bytes> {
    let bytes = features.map(Fingerprint::as_bytes);
    bytes.map(|bytes| Bytes::copy_from_slice(bytes)).collect()
}

fn encode_request(request: &CrashedRequest) -> proto::CrashedRequest {
    proto::CrashedRequest {
        fingerprint: Bytes::copy_from_slice(request.features.request.as_bytes()),
        parts: encode(request.features.parts.iter()),
        completed: request.has_completed,
        with_part: request.with_part.clone(),
        recent: request.recent,
    }
}

fn lock(guard: &Mutex<CrashGuard>) -> MutexGuard<'_, CrashGuard> {
    // Code that holds the lock cannot leave the guard inconsistent.
    guard.lock().unwrap_or_else(PoisonError::into_inner)
}
