//! Handles start and attach messages.

use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ledger::Attempt;
use tokio_util::sync::CancellationToken;
use tracing::Instrument;
use wire::Link;
use wire::proto::{Attach, AttachReply, AttemptState, End, Start, StartReply};

use crate::answer::{Answer, Cursor, HeadSent};
use crate::attempt_manager::{AttemptMsg, Origin, State, retention};
use crate::attempts::TrackedAttempt;
use crate::context::RequestedWork;
use crate::engine::{Call, Retry, TargetKind};
use crate::run::run;
use crate::{
    AdmissionState, Ending, IncomingAttempt, Lease, Refusal, Retention, Suspicion, Tombstone,
};

/// The reply to a start message, and the answer to send after it.
pub(crate) struct StartOutcome {
    pub reply: StartReply,
    pub sending: Option<PendingSend>,
}

/// The reply to an attach message, and the answer to send after it.
pub(crate) struct AttachOutcome {
    pub reply: AttachReply,
    pub sending: Option<PendingSend>,
}

/// An answer that is to be sent on a link.
pub(crate) struct PendingSend {
    pub answer: Arc<Answer>,
    pub cursor: Cursor,
    pub replaced: CancellationToken,
}

pub(crate) fn start(
    state: &mut State,
    start: Start,
    origin: &Origin,
    now: Instant,
) -> StartOutcome {
    let result = match Attempt::from_slice(&start.attempt) {
        Some(attempt) => accept(state, attempt, &start, origin, now),
        None => Err(Refusal::NotOffered),
    };
    let (refusal, sending) = match result {
        Ok(sending) => (None, sending),
        Err(refusal) => {
            state.cx.metrics.refused(refusal);
            (Some(refusal), None)
        }
    };
    let reply = StartReply {
        attempt: start.attempt,
        accepted: refusal.is_none(),
        refusal: refusal
            .map(|refusal| wire::proto::Refusal::from(refusal).into())
            .unwrap_or_default(),
        note: state.cx.follower.catalogue().number(),
        incarnation: state.cx.incarnation,
    };
    StartOutcome { reply, sending }
}

fn accept(
    state: &mut State,
    attempt: Attempt,
    start: &Start,
    origin: &Origin,
    now: Instant,
) -> Result<Option<PendingSend>, Refusal> {
    let link = &origin.link;
    match state.attempts.tombstone(attempt) {
        Some(Tombstone::Barred) => return Err(Refusal::Barred),
        // It did run, so it must not be refused: a refusal means "not run".
        Some(Tombstone::Forgotten) => return Ok(forgotten(attempt, link)),
        None => {}
    }
    // An entry that lost the reply starts the same attempt again; the running
    // attempt continues.
    if let Some(tracked) = state.attempts.get(attempt) {
        return Ok(attach_link(&tracked.answer, link, 0));
    }
    let suspicion = admit(state, start, origin, now)?;
    let quarantine = state.cx.follower.quarantine();
    let parts = &mut state.crash_tracker.parts;
    parts.record_start(&start.parts, &quarantine, now);
    let limits = &state.cx.cfg.limits;
    let retention = retention(start);
    let max_held = limits.held_limit(retention);
    let answer = Arc::new(Answer::new(
        attempt,
        retention,
        limits.window_bytes,
        max_held,
    ));
    let tracked = TrackedAttempt::new(
        Arc::clone(&answer),
        (start.fingerprint.clone(), start.parts.clone()),
        retention,
        suspicion,
        state.cx.status.borrow().instance.clone(),
        now,
    );
    state.attempts.insert(attempt, tracked);
    state.cx.metrics.attempt_accepted();
    let sending = attach_link(&answer, link, 0);
    spawn_run(state, attempt, start, answer);
    Ok(sending)
}

fn admit(
    state: &State,
    start: &Start,
    origin: &Origin,
    now: Instant,
) -> Result<Suspicion, Refusal> {
    // A start that is read right after a stall may have been abandoned long ago,
    // whatever the leases say.
    if state.is_stale(origin, now) {
        return Err(Refusal::Lease);
    }
    let cx = &state.cx;
    let catalogue = cx.follower.catalogue();
    let quarantine = cx.follower.quarantine();
    let suspicion =
        state
            .crash_tracker
            .suspicion(&start.fingerprint, &start.parts, &quarantine, now);
    let admission = AdmissionState {
        incarnation: cx.incarnation,
        note: catalogue.number(),
        lease: cx.lease(now),
        phase: cx.phase(),
        offered: cx.offered(
            &catalogue,
            &RequestedWork {
                group: &start.group,
                service: &start.service,
                model: &start.model,
            },
        ),
        health: cx.health(),
        running: state.attempts.running(),
        limit: cx.cfg.limits.concurrent_attempts,
        suspects: state.attempts.suspects(),
    };
    let lease = if start.entry_leased {
        Lease::Live
    } else {
        Lease::Expired
    };
    let admitted = admission.admit(&IncomingAttempt {
        incarnation: start.incarnation,
        note: start.note,
        lease,
        suspicion,
    });
    if admitted == Err(Refusal::Note) && start.note > admission.note {
        let follower = cx.follower.clone();
        tokio::spawn(async move { follower.refresh().await });
    }
    admitted?;
    if !state.attempts.has_room(retention(start))
        || state.attempts.held_bytes() >= cx.cfg.limits.total_bytes
    {
        return Err(Refusal::Full);
    }
    if !cx.begin_request(now) {
        return Err(Refusal::Full);
    }
    Ok(suspicion)
}

/// Sends the end of an attempt that ran and whose answer is no longer held.
fn forgotten(attempt: Attempt, link: &Link) -> Option<PendingSend> {
    let answer = Arc::new(Answer::new(attempt, Retention::UntilAcknowledged, 1, 1));
    answer.end(Ending::new(End::Lost, "the answer is no longer held"));
    attach_link(&answer, link, 0)
}

fn attach_link(answer: &Arc<Answer>, link: &Link, offset: u64) -> Option<PendingSend> {
    let replaced = answer.attach(link, offset)?;
    Some(PendingSend {
        answer: Arc::clone(answer),
        cursor: Cursor {
            head: HeadSent::No,
            offset,
        },
        replaced,
    })
}

pub(crate) fn attach(state: &State, attach: &Attach, link: &Link) -> AttachOutcome {
    let attempt = Attempt::from_slice(&attach.attempt);
    let tracked = attempt.and_then(|attempt| state.attempts.get(attempt));
    let sending = tracked.and_then(|tracked| attach_link(&tracked.answer, link, attach.offset));
    let attempt_state = attempt.map(|attempt| state.attempts.state(attempt));
    // The attempt is known, but the bytes from that offset on are gone.
    let gone = tracked.is_some() && sending.is_none();
    let attempt_state = if gone {
        Some(AttemptState::Forgotten)
    } else {
        attempt_state
    };
    AttachOutcome {
        reply: AttachReply {
            attempt: attach.attempt.clone(),
            state: attempt_state.unwrap_or_default().into(),
        },
        sending,
    }
}

/// Runs the attempt in its own task, which reports the outcome to the manager.
fn spawn_run(state: &State, attempt: Attempt, start: &Start, answer: Arc<Answer>) {
    let span = tracing::info_span!(
        "agent",
        request = %id_text(&start.request),
        attempt = %attempt,
        target = %state.cx.cfg.name,
    );
    trace::set_parent(&span, &start.traceparent);
    let engine = tracing::info_span!(parent: &span, "engine");
    let call = call(
        state,
        attempt,
        start,
        trace::traceparent(&engine, &start.traceparent),
    );
    let timeout = run_timeout(state, start);
    let retention = retention(start);
    let cx = Arc::clone(&state.cx);
    let manager = state.myself.clone();
    let request = id_text(&start.request);
    let run = async move {
        let begun = Instant::now();
        let outcome = run(&cx, &call, &answer, retention, timeout)
            .instrument(engine)
            .await;
        cx.record_end(begun);
        let (request, target) = (request.as_str(), cx.cfg.name.as_str());
        log::debug!(request = request, target = target; "attempt ended: {}", outcome.name());
        // The manager is gone only when the whole agent is.
        let _ = manager.send_message(AttemptMsg::RunEnded(attempt, outcome));
    };
    tokio::spawn(run.instrument(span));
}

/// Time limit of a run. A non-repeatable call isn't stopped at its caller's
/// deadline: it may have run, and its answer is kept for a later request.
fn run_timeout(state: &State, start: &Start) -> Duration {
    let max = state.cx.cfg.timing.max_run_time;
    if start.keep || start.deadline_ms == 0 {
        return max;
    }
    max.min(Duration::from_millis(start.deadline_ms.into()))
}

fn call(state: &State, attempt: Attempt, start: &Start, traceparent: String) -> Call {
    let mut request = id_text(&start.request);
    if state.cx.target_client.kind() == TargetKind::Engine {
        // Two attempts at one request may run on the same engine; cancelling the
        // first must not stop the second.
        request = format!("{request}-{attempt}");
    }
    let headers = start.headers.iter();
    Call {
        request,
        method: start.method.clone(),
        path: start.path.clone(),
        headers: headers
            .map(|header| (header.name.clone(), header.value.clone()))
            .collect(),
        body: start.body.clone(),
        rank: start.rank,
        priority: start.priority,
        resume_events: start.resume_events,
        traceparent,
        retry: if start.keep {
            Retry::Never
        } else {
            Retry::Allowed
        },
    }
}

/// A request id as text: unchanged if it is printable, otherwise hexadecimal.
fn id_text(id: &Bytes) -> String {
    let printable = id.iter().all(u8::is_ascii_graphic);
    if printable {
        return String::from_utf8_lossy(id).into_owned();
    }
    id.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
