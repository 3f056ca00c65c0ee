//! Whether the target crashed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::time::sleep;
use wire::proto::{Crashed, Quarantine, command, outcome};

use crate::Suspicion;
use crate::context::Context;
use crate::desk::{DeskMsg, State};
use crate::engine::{Failure, Stand};

/// Looks at the target before it is taken not to have crashed.
const LOOKS: u32 = 10;

/// Between two looks.
const PAUSE: Duration = Duration::from_millis(50);

/// How long a crash is reported for, until control has it.
const REPORT: Duration = Duration::from_mins(1);

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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Crashed,
    Lives,
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
        if verdict == Verdict::Lives {
            state.end_broken(now);
            return;
        }
        let fingerprints = state.attempts.end_crashed(since, now);
        // What else broke broke with the target that came after.
        state.end_broken(now);
        state.incident.remember(&fingerprints, now);
        state.cx.metrics.crashed();
        log::warn!(
            "the target crashed while {} requests ran on it",
            fingerprints.len()
        );
        if !fingerprints.is_empty() {
            tokio::spawn(report(Arc::clone(&state.cx), fingerprints));
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

/// A target that refuses connections, or that another instance answers for,
/// has crashed; one that still answers merely lost a connection.
async fn examine(cx: &Context) -> Verdict {
    let known = cx.status.borrow().instance.clone();
    for _ in 0..LOOKS {
        match look(cx).await {
            Err(Failure::NotRun(_)) => return Verdict::Crashed,
            Ok(instance) if !instance.is_empty() && instance != known => {
                return Verdict::Crashed;
            }
            Ok(_) => return Verdict::Lives,
            Err(_) => sleep(PAUSE).await,
        }
    }
    Verdict::Lives
}

/// The instance that answers; empty where targets don't tell.
async fn look(cx: &Context) -> Result<String, Failure> {
    match cx.outlet.stand() {
        Stand::Engine => Ok(cx.outlet.profile().await?.instance),
        Stand::Service => {
            cx.outlet.load().await?;
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
