//! Runs one attempt at the target.

use std::time::{Duration, Instant};

use outlet::{Completeness, MAX_STREAM_BYTES};
use tokio::time::sleep;
use wire::proto::End;

use crate::answer::{Answer, WriteState};
use crate::context::Context;
use crate::engine::{Call, Failure, TargetClient, TargetKind};
use crate::{Ending, Retention};

/// How the run of an attempt ended.
pub(crate) enum RunOutcome {
    /// It ended in this way.
    Ended(Ending),
    /// The connection broke after the request was written; it isn't known yet
    /// whether the target crashed.
    ConnectionLost(String),
}

impl RunOutcome {
    /// Name of the outcome in logs.
    pub fn name(&self) -> &'static str {
        match self {
            RunOutcome::Ended(ending) => ending.name(),
            RunOutcome::ConnectionLost(_) => "broken",
        }
    }
}

/// Runs a call and streams the response into its answer, until the call ends, is
/// cancelled or times out.
pub(crate) async fn run(
    cx: &Context,
    call: &Call,
    answer: &Answer,
    retention: Retention,
    timeout: Duration,
) -> RunOutcome {
    let outcome = tokio::select! {
        biased;
        () = answer.cancel.cancelled() => {
            cancel_call(&cx.target_client, call).await;
            Ending::new(End::Cancelled, "cancelled")
        }
        () = sleep(timeout) => {
            cancel_call(&cx.target_client, call).await;
            Ending::new(End::Deadline, "out of time")
        }
        ended = receive(cx, call, answer, retention) => match ended {
            Ok(ending) => ending,
            Err(Failure::Broken(reason)) => return RunOutcome::ConnectionLost(reason),
            Err(failure) => failure.into(),
        },
    };
    RunOutcome::Ended(not_run_if_unwritten(outcome, answer.write_state()))
}

/// An attempt that ended before anything was written has not run, whatever ended
/// it.
fn not_run_if_unwritten(ending: Ending, write_state: WriteState) -> Ending {
    match write_state {
        WriteState::Unwritten => Ending {
            end: End::NotRun,
            ..ending
        },
        WriteState::Written => ending,
    }
}

async fn receive(
    cx: &Context,
    call: &Call,
    answer: &Answer,
    retention: Retention,
) -> Result<Ending, Failure> {
    let sent = Instant::now();
    let mut reply = cx.target_client.call(call, || answer.set_written()).await?;
    cx.record_head(reply.rest(), sent, Instant::now());
    answer.set_head(reply.status(), reply.headers());
    let mut received = 0;
    while let Some(data) = reply.next().await? {
        cx.metrics.received(data.len());
        received += data.len();
        if received > MAX_STREAM_BYTES {
            return Ok(Ending::new(End::Lost, "the answer exceeds the size limit"));
        }
        answer.push(data);
        if retention == Retention::UntilRecorded && !answer.has_room() {
            // The answer can't be kept in full, so it couldn't be recorded.
            return Ok(Ending::new(End::Lost, "the answer is too large to keep"));
        }
        answer.wait_for_room().await;
    }
    let mut ending = match reply.completeness() {
        Completeness::Complete => Ending::new(End::Whole, ""),
        Completeness::Truncated => Ending::new(End::Lost, "the answer was broken off"),
        Completeness::Unknown => Ending::new(End::Unconfirmed, "the connection has ended"),
    };
    ending.usage = reply.usage();
    Ok(ending)
}

/// Tells an engine to stop a request; otherwise it would keep generating tokens
/// that nobody reads.
async fn cancel_call(client: &TargetClient, call: &Call) {
    if client.kind() == TargetKind::Engine
        && let Err(e) = client.cancel(&call.request).await
    {
        log::debug!(request = call.request.as_str(); "failed to cancel a request: {e}");
    }
}
