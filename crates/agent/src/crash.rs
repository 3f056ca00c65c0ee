//! Detects and reports crashes of the target.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ledger::Attempt;
use tokio::time::{sleep, timeout};
use wire::proto::{Crashed, CrashedRequest, Quarantine, command, outcome};

use crate::Suspicion;
use crate::attempt_manager::{AttemptMsg, State};
use crate::context::Context;
use crate::engine::{Failure, TargetKind};
use crate::prompt_parts::PromptParts;

/// Probes of the target before the check gives up.
const MAX_PROBES: u32 = 10;

/// Delay between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// How long the agent tries to report a crash to control.
const REPORT_TIMEOUT: Duration = Duration::from_mins(1);

/// How long crashed attempts are held open for control to record the report.
const REPORT_WAIT: Duration = Duration::from_secs(2);

/// How long the agent itself treats requests as suspect after a crash, until
/// control's quarantine contains them.
const LOCAL_SUSPECT_TTL: Duration = Duration::from_secs(30);

const MAX_LOCAL_SUSPECTS: usize = 4096;

/// State of the crash check, and requests that ran during recent crashes.
#[derive(Default)]
pub(crate) struct CrashTracker {
    /// Start of the crash check that is under way.
    checking_since: Option<Instant>,
    suspects: BTreeMap<Bytes, Instant>,
    pub(crate) parts: PromptParts,
}

/// Result of probing the target after a connection broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbeResult {
    /// It accepts no connections.
    Gone,
    /// The instance that answers, which may have replaced the previous one;
    /// empty for targets that don't report an instance.
    Answers(String),
    /// It accepts connections and doesn't answer, so nothing is known.
    Silent,
}

impl CrashTracker {
    /// Starts a crash check unless one is under way.
    pub fn start_check(state: &mut State, now: Instant) {
        if state.crash_tracker.checking_since.is_some() {
            return;
        }
        state.crash_tracker.checking_since = Some(now);
        let cx = Arc::clone(&state.cx);
        let manager = state.myself.clone();
        tokio::spawn(async move {
            let result = probe(&cx).await;
            let _ = manager.send_message(AttemptMsg::CrashChecked(result));
        });
    }

    /// Ends the attempts whose connection broke. If the target crashed, reports
    /// all requests that it may have been running.
    pub fn conclude(state: &mut State, result: ProbeResult, now: Instant) {
        let since = state.crash_tracker.checking_since.take().unwrap_or(now);
        let attempts = &mut state.attempts;
        let crashed = match result {
            ProbeResult::Gone => {
                state.cx.set_instance(String::new());
                attempts.mark_crashed(|tracked| tracked.started <= since)
            }
            ProbeResult::Answers(instance) if !instance.is_empty() => {
                // An attempt that started while the instance was unknown may run
                // on this one and doesn't count as crashed.
                let crashed = attempts.mark_crashed(|tracked| {
                    !tracked.instance.is_empty() && tracked.instance != instance
                });
                state.cx.set_instance(instance);
                crashed
            }
            ProbeResult::Answers(_) | ProbeResult::Silent => Vec::new(),
        };
        // All other broken attempts merely lost their connection.
        state.end_broken(now);
        if !crashed.is_empty() {
            report_crash(state, crashed, now);
        }
    }

    /// Whether a request with this fingerprint is suspect or convicted.
    pub fn suspicion(
        &self,
        fingerprint: &Bytes,
        parts: &[Bytes],
        quarantine: &Quarantine,
        now: Instant,
    ) -> Suspicion {
        if parts.iter().any(|part| quarantine.convicted.contains(part)) {
            return Suspicion::Convicted;
        }
        if fingerprint.is_empty() {
            return Suspicion::None;
        }
        let local = self.suspects.get(fingerprint);
        let local = local.is_some_and(|at| now.saturating_duration_since(*at) < LOCAL_SUSPECT_TTL);
        if quarantine.convicted.contains(fingerprint) {
            Suspicion::Convicted
        } else if local || quarantine.suspects.contains(fingerprint) {
            Suspicion::Suspect
        } else {
            Suspicion::None
        }
    }

    /// Remembers local suspects: a caller that repeats its request at once reaches
    /// this target before control's quarantine does.
    fn remember(&mut self, fingerprints: &[Bytes], now: Instant) {
        self.suspects
            .retain(|_, at| now.saturating_duration_since(*at) < LOCAL_SUSPECT_TTL);
        for fingerprint in fingerprints {
            if self.suspects.len() < MAX_LOCAL_SUSPECTS {
                self.suspects.insert(fingerprint.clone(), now);
            }
        }
    }
}

/// Counts a crash and reports the fingerprints of the requests that ran.
///
/// The attempts end only once control has recorded the report, or after
/// [`REPORT_WAIT`]: a caller that learns of the crash retries on another target,
/// and would crash a third one if the quarantine didn't contain its request yet.
fn report_crash(state: &mut State, crashed: Vec<(Attempt, CrashedRequest)>, now: Instant) {
    log::warn!("target crashed while running {} attempts", crashed.len());
    state.cx.metrics.crashed(crashed.len());
    let (attempts, requests): (Vec<Attempt>, Vec<CrashedRequest>) = crashed.into_iter().unzip();
    let known = requests
        .into_iter()
        .filter(|request| !request.fingerprint.is_empty())
        .map(|request| (request.fingerprint.clone(), request));
    let mut requests: BTreeMap<Bytes, CrashedRequest> = known.collect();
    for request in requests.values_mut() {
        state.crash_tracker.parts.count(request);
    }
    let fingerprints: Vec<Bytes> = requests.keys().cloned().collect();
    if fingerprints.is_empty() {
        state.attempts.end_crashed(&attempts, now);
        return;
    }
    state.crash_tracker.remember(&fingerprints, now);
    let requests = requests.into_values().collect();
    let report = tokio::spawn(report(Arc::clone(&state.cx), fingerprints, requests));
    let manager = state.myself.clone();
    tokio::spawn(async move {
        // The report continues in the background after the timeout.
        let _ = timeout(REPORT_WAIT, report).await;
        let _ = manager.send_message(AttemptMsg::CrashReported(attempts));
    });
}

/// Probes the target. It counts as gone if it refuses connections, or if it closes
/// each one without an answer, as a TCP proxy without a running target does. One
/// that answers as another instance has been restarted.
async fn probe(cx: &Context) -> ProbeResult {
    let mut result = ProbeResult::Gone;
    for _ in 0..MAX_PROBES {
        match probe_once(cx).await {
            Ok(instance) => return ProbeResult::Answers(instance),
            Err(Failure::NotRun(_)) => return ProbeResult::Gone,
            Err(Failure::Silent(_)) => result = ProbeResult::Silent,
            Err(Failure::Broken(_) | Failure::EndedEarly(_)) => {}
        }
        sleep(PROBE_INTERVAL).await;
    }
    result
}

/// The instance that answers; empty for targets that don't report one.
async fn probe_once(cx: &Context) -> Result<String, Failure> {
    match cx.target_client.kind() {
        TargetKind::Engine => Ok(cx.target_client.profile().await?.instance),
        TargetKind::Service => {
            cx.target_client.load().await?;
            Ok(String::new())
        }
    }
}

async fn report(cx: Arc<Context>, fingerprints: Vec<Bytes>, requests: Vec<CrashedRequest>) {
    // A random id of this crash, since one agent may report several.
    let crash = rand::random();
    let crashed = command::Body::Crashed(Crashed {
        target: cx.cfg.name.clone(),
        incarnation: crash,
        fingerprints,
        requests,
    });
    let outcome = cx.follower.propose(crashed, REPORT_TIMEOUT).await;
    match outcome.body {
        Some(outcome::Body::Crashed(recorded)) => log::info!(
            "crash recorded: {} requests suspect, {} convicted",
            recorded.suspects.len(),
            recorded.convicted.len()
        ),
        _ => log::error!("failed to report a crash to control"),
    }
}
