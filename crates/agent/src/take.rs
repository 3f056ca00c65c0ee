//! Takes attempts, or refuses them.

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
use crate::attempts::Known;
use crate::context::Wanted;
use crate::desk::{DeskMsg, Origin, State, keep};
use crate::engine::{Call, Retry, TargetKind};
use crate::run::run;
use crate::{Arrival, Ending, Gate, Keep, Lease, Refusal, Suspicion, Tombstone};

/// The reply to a start, and the answer to send after it.
pub(crate) struct Taken {
    pub reply: StartReply,
    pub sending: Option<Sending>,
}

/// The reply to an attachment, and the answer to send after it.
pub(crate) struct Attached {
    pub reply: AttachReply,
    pub sending: Option<Sending>,
}

/// An answer that a link is to be sent.
pub(crate) struct Sending {
    pub answer: Arc<Answer>,
    pub cursor: Cursor,
    pub replaced: CancellationToken,
}

pub(crate) fn start(state: &mut State, start: Start, from: &Origin, now: Instant) -> Taken {
    let taken = match Attempt::from_slice(&start.attempt) {
        Some(attempt) => take(state, attempt, &start, from, now),
        None => Err(Refusal::NotOffered),
    };
    let (refusal, sending) = match taken {
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
    Taken { reply, sending }
}

fn take(
    state: &mut State,
    attempt: Attempt,
    start: &Start,
    from: &Origin,
    now: Instant,
) -> Result<Option<Sending>, Refusal> {
    let link = &from.link;
    match state.attempts.tombstone(attempt) {
        Some(Tombstone::Barred) => return Err(Refusal::Barred),
        // It did run, so it must not be refused: that would mean "not run".
        Some(Tombstone::Forgotten) => return Ok(forgotten(attempt, link)),
        None => {}
    }
    // An entry that lost the reply starts the same attempt again: it goes on.
    if let Some(known) = state.attempts.get(attempt) {
        return Ok(begin(&known.answer, link, 0));
    }
    let suspicion = admit(state, start, from, now)?;
    let limits = &state.cx.cfg.limits;
    let keep = keep(start);
    let most = limits.held_of(keep);
    let answer = Arc::new(Answer::new(attempt, keep, limits.window, most));
    let known = Known::new(
        Arc::clone(&answer),
        start.fingerprint.clone(),
        keep,
        suspicion,
        state.cx.status.borrow().instance.clone(),
        now,
    );
    state.attempts.insert(attempt, known);
    state.cx.metrics.taken();
    let sending = begin(&answer, link, 0);
    launch(state, attempt, start, answer);
    Ok(sending)
}

fn admit(state: &State, start: &Start, from: &Origin, now: Instant) -> Result<Suspicion, Refusal> {
    // What is read right after a standstill may be a start that was given up
    // long ago; neither lease says anything about it.
    if state.is_stale(from, now) {
        return Err(Refusal::Lease);
    }
    let cx = &state.cx;
    let catalogue = cx.follower.catalogue();
    let quarantine = cx.follower.quarantine();
    let suspicion = state
        .incident
        .suspicion(&start.fingerprint, &quarantine, now);
    let gate = Gate {
        incarnation: cx.incarnation,
        note: catalogue.number(),
        lease: cx.lease(now),
        phase: cx.phase(),
        offered: cx.offered(
            &catalogue,
            &Wanted {
                group: &start.group,
                service: &start.service,
                model: &start.model,
            },
        ),
        health: cx.health(),
        running: state.attempts.running(),
        limit: cx.cfg.limits.concurrent,
        suspects: state.attempts.suspects(),
    };
    let lease = if start.entry_leased {
        Lease::Live
    } else {
        Lease::Over
    };
    let admitted = gate.admit(&Arrival {
        incarnation: start.incarnation,
        note: start.note,
        lease,
        suspicion,
    });
    if admitted == Err(Refusal::Note) && start.note > gate.note {
        let follower = cx.follower.clone();
        tokio::spawn(async move { follower.refresh().await });
    }
    admitted?;
    if !state.attempts.has_room(keep(start)) || state.attempts.held() >= cx.cfg.limits.buffers {
        return Err(Refusal::Full);
    }
    Ok(suspicion)
}

/// Tells of an attempt that ran and whose answer is no longer held.
fn forgotten(attempt: Attempt, link: &Link) -> Option<Sending> {
    let answer = Arc::new(Answer::new(attempt, Keep::UntilPassed, 1, 1));
    answer.end(Ending::new(End::Lost, "the answer is no longer held"));
    begin(&answer, link, 0)
}

fn begin(answer: &Arc<Answer>, link: &Link, offset: u64) -> Option<Sending> {
    let replaced = answer.attach(link, offset)?;
    Some(Sending {
        answer: Arc::clone(answer),
        cursor: Cursor {
            head: HeadSent::No,
            offset,
        },
        replaced,
    })
}

pub(crate) fn attach(state: &State, attach: &Attach, link: &Link) -> Attached {
    let attempt = Attempt::from_slice(&attach.attempt);
    let known = attempt.and_then(|attempt| state.attempts.get(attempt));
    let sending = known.and_then(|known| begin(&known.answer, link, attach.offset));
    let stands = attempt.map(|attempt| state.attempts.state(attempt));
    // Known, but the bytes from that offset on are gone.
    let gone = known.is_some() && sending.is_none();
    let stands = if gone {
        Some(AttemptState::Forgotten)
    } else {
        stands
    };
    Attached {
        reply: AttachReply {
            attempt: attach.attempt.clone(),
            state: stands.unwrap_or_default().into(),
        },
        sending,
    }
}

/// Runs the attempt in a task of its own, which tells the desk of its end.
fn launch(state: &State, attempt: Attempt, start: &Start, answer: Arc<Answer>) {
    let span = tracing::info_span!(
        "agent",
        request = %text(&start.request),
        attempt = %attempt,
        target = %state.cx.cfg.name,
    );
    trace::adopt(&span, &start.traceparent);
    let engine = tracing::info_span!(parent: &span, "engine");
    let call = call(
        state,
        attempt,
        start,
        trace::context(&engine, &start.traceparent),
    );
    let within = within(state, start);
    let keep = keep(start);
    let cx = Arc::clone(&state.cx);
    let desk = state.myself.clone();
    let request = text(&start.request);
    let run = async move {
        let stopped = run(&cx, &call, &answer, keep, within)
            .instrument(engine)
            .await;
        let (request, target) = (request.as_str(), cx.cfg.name.as_str());
        log::debug!(request = request, target = target; "attempt ended: {}", stopped.name());
        // The desk is gone only when the whole agent is.
        let _ = desk.send_message(DeskMsg::Stopped(attempt, stopped));
    };
    tokio::spawn(run.instrument(span));
}

/// A non-repeatable call isn't stopped at its caller's deadline: it may have
/// run, and its answer is kept for when the caller asks again.
fn within(state: &State, start: &Start) -> Duration {
    let longest = state.cx.cfg.timing.longest;
    if start.keep || start.deadline_ms == 0 {
        return longest;
    }
    longest.min(Duration::from_millis(start.deadline_ms.into()))
}

fn call(state: &State, attempt: Attempt, start: &Start, traceparent: String) -> Call {
    let mut request = text(&start.request);
    if state.cx.target_client.kind() == TargetKind::Engine {
        // Two attempts of one request may meet on one engine; cancelling the
        // former must not stop the latter.
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

/// A request id as text: as it is if it is printable, else in hexadecimal.
fn text(id: &Bytes) -> String {
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
