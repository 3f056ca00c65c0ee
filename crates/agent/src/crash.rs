//! Whether the target crashed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ledger::Attempt;
use tokio::time::{sleep, timeout};
use wire::proto::{Crashed, Quarantine, command, outcome};

use crate::Suspicion;
use crate::context::Context;
use crate::desk::{DeskMsg, State};
use crate::engine::{Failure, TargetKind};

/// Looks at the target before it is taken not to have crashed.
const LOOKS: u32 = 10;

/// Between two looks.
const PAUSE: Duration = Duration::from_millis(50);

/// How long a crash is reported for, until control has it.
const REPORT: Duration = Duration::from_mins(1);

/// How long attempts that a crash ended wait for control to have the report.
const REPORT_FIRST: Duration = Duration::from_secs(2);

/// How long the agent itself takes requests for suspect after a crash: until
/// the quarantine that control gives out has them.
const OWN_SUSPECTS: Duration = Duration::from_secs(30);

/// Own suspects at most.
const MAX_OWN_SUSPECTS: usize = 4096;

/// What is known of the latest crash.
#[derive(Default)]
pub(crate) struct Incident {
    /// Since when it is being found out whether the target crashed.
    looking: Option<Instant>,
    suspects: BTreeMap<Bytes, Instant>,
}

/// Whether the target crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It takes no connections.
    Gone,
    /// It answers, or another instance in its place does; empty where targets
    /// don't tell.
    Answers(String),
    /// It says nothing, so nothing is known.
    Silent,
}

impl Incident {
    /// Begins to find out whether the target crashed, unless that is under way.
    pub fn look(state: &mut State, now: Instant) {
        if state.incident.looking.is_some() {
            return;
        }
        state.incident.looking = Some(now);
        let cx = Arc::clone(&state.cx);
        let desk = state.myself.clone();
        tokio::spawn(async move {
            let verdict = examine(&cx).await;
            let _ = desk.send_message(DeskMsg::Examined(verdict));
        });
    }

    /// Ends the attempts whose connection broke, and reports a crash with all
    /// requests that the target may have been running.
    pub fn conclude(state: &mut State, verdict: Verdict, now: Instant) {
        let since = state.incident.looking.take().unwrap_or(now);
        let attempts = &mut state.attempts;
        let crashed = match verdict {
            Verdict::Gone => {
                state.cx.know_instance(String::new());
                attempts.pick_crashed(|known| known.started <= since)
            }
            Verdict::Answers(instance) if !instance.is_empty() => {
                // What started while it wasn't known which one answers may run on
                // this one: then it isn't said to have crashed.
                let crashed = attempts
                    .pick_crashed(|known| !known.instance.is_empty() && known.instance != instance);
                state.cx.know_instance(instance);
                crashed
            }
            Verdict::Answers(_) | Verdict::Silent => Vec::new(),
        };
        // What else broke merely lost its connection.
        state.end_broken(now);
        if !crashed.is_empty() {
            record(state, crashed, now);
        }
    }

    /// What is known of a request with this fingerprint.
    pub fn suspicion(
        &self,
        fingerprint: &Bytes,
        quarantine: &Quarantine,
        now: Instant,
    ) -> Suspicion {
        if fingerprint.is_empty() {
            return Suspicion::None;
        }
        let own = self.suspects.get(fingerprint);
        let own = own.is_some_and(|at| now.saturating_duration_since(*at) < OWN_SUSPECTS);
        if quarantine.convicted.contains(fingerprint) {
            Suspicion::Convicted
        } else if own || quarantine.suspects.contains(fingerprint) {
            Suspicion::Suspect
        } else {
            Suspicion::None
        }
    }

    /// A caller that sends its request again at once reaches this target
    /// before the quarantine does; then the agent's own memory counts.
    fn remember(&mut self, fingerprints: &[Bytes], now: Instant) {
        self.suspects
            .retain(|_, at| now.saturating_duration_since(*at) < OWN_SUSPECTS);
        for fingerprint in fingerprints {
            if self.suspects.len() < MAX_OWN_SUSPECTS {
                self.suspects.insert(fingerprint.clone(), now);
            }
        }
    }
}

/// Counts a crash and reports it with the fingerprints of what ran.
///
/// The attempts end only once control has the report, or didn't answer for
/// [`REPORT_FIRST`]: whoever hears of the crash sends its request elsewhere, and
/// would crash a third target if the quarantine didn't have it yet.
fn record(state: &mut State, crashed: Vec<(Attempt, Bytes)>, now: Instant) {
    log::warn!("the target crashed while {} attempts ran", crashed.len());
    state.cx.metrics.crashed(crashed.len());
    let (attempts, fingerprints): (Vec<Attempt>, BTreeSet<Bytes>) = crashed.into_iter().unzip();
    let mut fingerprints: Vec<Bytes> = fingerprints.into_iter().collect();
    fingerprints.retain(|fingerprint| !fingerprint.is_empty());
    if fingerprints.is_empty() {
        state.attempts.end_crashed(&attempts, now);
        return;
    }
    state.incident.remember(&fingerprints, now);
    let report = tokio::spawn(report(Arc::clone(&state.cx), fingerprints));
    let desk = state.myself.clone();
    tokio::spawn(async move {
        // A report that takes longer goes on.
        let _ = timeout(REPORT_FIRST, report).await;
        let _ = desk.send_message(DeskMsg::Reported(attempts));
    });
}

/// A target that refuses connections has crashed, and so has one that breaks
/// each of them without an answer, as a forwarder with nothing behind it does;
/// one that answers, but as another instance, was started again since.
async fn examine(cx: &Context) -> Verdict {
    let mut verdict = Verdict::Gone;
    for _ in 0..LOOKS {
        match look(cx).await {
            Ok(instance) => return Verdict::Answers(instance),
            Err(Failure::NotRun(_)) => return Verdict::Gone,
            Err(Failure::Silent(_)) => verdict = Verdict::Silent,
            Err(Failure::Broken(_) | Failure::EndedEarly(_)) => {}
        }
        sleep(PAUSE).await;
    }
    verdict
}

/// The instance that answers; empty where targets don't tell.
async fn look(cx: &Context) -> Result<String, Failure> {
    match cx.target_client.kind() {
        TargetKind::Engine => Ok(cx.target_client.profile().await?.instance),
        TargetKind::Service => {
            cx.target_client.load().await?;
            Ok(String::new())
        }
    }
}

async fn report(cx: Arc<Context>, fingerprints: Vec<Bytes>) {
    // Names this crash: the agent outlives several of them, and each counts.
    let crash = rand::random();
    let crashed = command::Body::Crashed(Crashed {
        target: cx.cfg.name.clone(),
        incarnation: crash,
        fingerprints,
    });
    let outcome = cx.follower.propose(crashed, REPORT).await;
    match outcome.body {
        Some(outcome::Body::Crashed(stands)) => log::info!(
            "crash recorded: {} requests suspect, {} convicted",
            stands.suspects.len(),
            stands.convicted.len()
        ),
        _ => log::error!("the crash could not be recorded"),
    }
}
