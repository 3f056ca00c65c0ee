//! Runs one attempt at the target.

use std::time::Duration;

use tokio::time::sleep;
use wire::proto::End;

use crate::answer::{Answer, Stage};
use crate::context::Context;
use crate::engine::{Call, Failure, TargetClient, TargetKind};
use crate::{Ending, Keep};

/// How the run of an attempt came to its end.
pub(crate) enum Stopped {
    /// As it says.
    Ended(Ending),
    /// The connection broke after the call was written; whether the target
    /// crashed has still to be found out.
    Broke(String),
}

impl Stopped {
    /// The name under which logs have it.
    pub fn name(&self) -> &'static str {
        match self {
            Stopped::Ended(ending) => ending.name(),
            Stopped::Broke(_) => "broken",
        }
    }
}

/// Runs a call and fills its answer, until it ended, is cancelled or `within`
/// is over.
pub(crate) async fn run(
    cx: &Context,
    call: &Call,
    answer: &Answer,
    keep: Keep,
    within: Duration,
) -> Stopped {
    let stopped = tokio::select! {
        biased;
        () = answer.cancel.cancelled() => {
            stop(&cx.target_client, call).await;
            Ending::new(End::Cancelled, "cancelled")
        }
        () = sleep(within) => {
            stop(&cx.target_client, call).await;
            Ending::new(End::Deadline, "out of time")
        }
        ended = fill(cx, call, answer, keep) => match ended {
            Ok(ending) => ending,
            Err(Failure::Broken(reason)) => return Stopped::Broke(reason),
            Err(failure) => failure.into(),
        },
    };
    Stopped::Ended(proven(stopped, answer.stage()))
}

/// Whatever ended an attempt before a byte was written, it has not run.
fn proven(ending: Ending, stage: Stage) -> Ending {
    match stage {
        Stage::Unwritten => Ending {
            end: End::NotRun,
            ..ending
        },
        Stage::Written => ending,
    }
}

async fn fill(cx: &Context, call: &Call, answer: &Answer, keep: Keep) -> Result<Ending, Failure> {
    let mut reply = cx.target_client.call(call, || answer.set_written()).await?;
    answer.set_head(reply.status(), reply.headers());
    while let Some(data) = reply.next().await? {
        cx.metrics.received(data.len());
        answer.push(data);
        if keep == Keep::Whole && !answer.has_room() {
            // It can't be kept whole, so it couldn't be recorded either.
            return Ok(Ending::new(End::Lost, "the answer is too large to keep"));
        }
        answer.await_room().await;
    }
    let mut ending = Ending::new(End::Whole, "");
    ending.usage = reply.usage();
    Ok(ending)
}

/// An engine goes on generating for nobody unless it is told to stop.
async fn stop(client: &TargetClient, call: &Call) {
    if client.kind() == TargetKind::Engine
        && let Err(e) = client.cancel(&call.request).await
    {
        log::debug!(request = call.request.as_str(); "can't be cancelled: {e}");
    }
}
