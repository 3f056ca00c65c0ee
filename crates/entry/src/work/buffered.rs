//! Repeatable requests with unstreamed answers.

use std::time::Instant;

use admin::Problem;
use bytes::BytesMut;
use route::AttemptResult;
use wire::AnswerPart;
use wire::proto::{AnswerEnd, AnswerHead, End};

use super::answer::{Answer, Confirmation};
use super::attempt::{Attempt, AttemptEvent};
use super::execution::{Execution, RunningAttempt};
use super::failure::Failure;
use crate::placement::StartAt;

/// Statuses with which a target reports that it cannot process the request at present.
const RETRYABLE_STATUSES: [u32; 3] = [429, 502, 503];

/// Runs a repeatable request until its answer is complete.
pub(crate) async fn run_buffered(mut execution: Execution) -> Result<Answer, Problem> {
    let mut turned_away = None;
    loop {
        let running = match execution.start_attempt(StartAt::Beginning).await {
            Ok(running) => running,
            Err(problem) => return turned_away.ok_or(problem),
        };
        match finish_buffered(&mut execution, running, None).await? {
            BufferedOutcome::Answered(answer) => return Ok(answer),
            BufferedOutcome::Retry(answer) => turned_away = answer.or(turned_away),
        }
    }
}

/// Outcome of an attempt with an unstreamed answer.
pub(crate) enum BufferedOutcome {
    /// The answer for the caller.
    Answered(Answer),
    /// The request is to be retried. The answer with which the target turned it away tells
    /// the caller more than an error of the entry, if no further attempt can be started.
    Retry(Option<Answer>),
}

/// Collects the answer of an attempt, whose head may already have arrived.
pub(crate) async fn finish_buffered(
    execution: &mut Execution,
    mut running: RunningAttempt,
    head: Option<AnswerHead>,
) -> Result<BufferedOutcome, Problem> {
    let target = running.placed.agent().name.clone();
    let deadline = execution.job.deadline;
    let max = execution.context.limits.answer;
    let on_first_byte = || running.placed.record_first_byte();
    match collect_answer(&mut running.attempt, head, max, deadline, on_first_byte).await {
        Ok((answer, used)) if !RETRYABLE_STATUSES.contains(&answer.status) => {
            execution.permit.set_used(used);
            running.placed.end(AttemptResult::Completed);
            Ok(BufferedOutcome::Answered(answer))
        }
        Ok((answer, _)) => {
            running.placed.end(AttemptResult::Full);
            // Without a further retry, the target's own answer is the most informative.
            let will_retry = execution
                .prepare_retry(&target, Failure::Lost)
                .await
                .is_ok();
            Ok(if will_retry {
                BufferedOutcome::Retry(Some(answer))
            } else {
                BufferedOutcome::Answered(answer)
            })
        }
        Err(failure) => {
            running.placed.end(failure.attempt_result());
            execution.prepare_retry(&target, failure).await?;
            Ok(BufferedOutcome::Retry(None))
        }
    }
}

/// Collects an answer up to its end, and the number of tokens used.
pub(crate) async fn collect_answer(
    attempt: &mut Attempt,
    mut head: Option<AnswerHead>,
    max: usize,
    deadline: Instant,
    on_first_byte: impl Fn(),
) -> Result<(Answer, u32), Failure> {
    let mut body = BytesMut::new();
    loop {
        let event = attempt.next(deadline).await;
        if let Some(failure) = Failure::from_event(&event) {
            return Err(failure);
        }
        match event {
            AttemptEvent::Piece(AnswerPart::Head(received)) => {
                on_first_byte();
                head = Some(received);
            }
            AttemptEvent::Piece(AnswerPart::Data(data)) if body.len() + data.len() > max => {
                return Err(Failure::TooLarge);
            }
            AttemptEvent::Piece(AnswerPart::Data(data)) => {
                body.extend_from_slice(&data);
                attempt.acknowledge().await;
            }
            AttemptEvent::Piece(AnswerPart::Complete(end)) => {
                let head = head.ok_or(Failure::Lost)?;
                let answer = Answer {
                    status: head.status,
                    headers: head.headers,
                    body: body.freeze(),
                    confirmation: confirmation(&end),
                };
                return Ok((answer, used_tokens(&end)));
            }
            _ => return Err(Failure::Lost),
        }
    }
}

fn confirmation(end: &AnswerEnd) -> Confirmation {
    match end.end() {
        End::Unconfirmed => Confirmation::Unknown,
        _ => Confirmation::Complete,
    }
}

/// Number of tokens that the target reports for an answer.
pub(crate) fn used_tokens(end: &AnswerEnd) -> u32 {
    let usage = end.usage.unwrap_or_default();
    usage.prompt_tokens.saturating_add(usage.completion_tokens)
}
