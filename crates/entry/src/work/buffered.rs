//! Repeatable requests whose answer is given as a whole.

use std::time::Instant;

use admin::Problem;
use bytes::BytesMut;
use route::AttemptResult;
use wire::Piece;
use wire::proto::{AnswerEnd, AnswerHead};

use super::answer::Answer;
use super::attempt::{Attempt, AttemptEvent};
use super::execution::{Execution, RunningAttempt};
use super::failure::Failure;
use crate::placement::StartAt;

/// Statuses by which a target says that it could not do the work now.
const RETRYABLE_STATUSES: [u32; 3] = [429, 502, 503];

/// Runs a repeatable request until there is a whole answer.
pub(crate) async fn run_buffered(mut execution: Execution) -> Result<Answer, Problem> {
    loop {
        let running = execution.start_attempt(StartAt::Beginning).await?;
        if let Some(answer) = finish_buffered(&mut execution, running, None).await? {
            return Ok(answer);
        }
    }
}

/// Collects the answer of an attempt whose head may have come already.
/// `None` when the request is to be tried again.
pub(crate) async fn finish_buffered(
    execution: &mut Execution,
    mut running: RunningAttempt,
    head: Option<AnswerHead>,
) -> Result<Option<Answer>, Problem> {
    let target = running.placed.agent().name.clone();
    let deadline = execution.job.deadline;
    let max = execution.context.limits.answer;
    let on_first_byte = || running.placed.record_first_byte();
    match collect_answer(&mut running.attempt, head, max, deadline, on_first_byte).await {
        Ok((answer, used)) if !RETRYABLE_STATUSES.contains(&answer.status) => {
            execution.permit.set_used(used);
            running.placed.end(AttemptResult::Completed);
            Ok(Some(answer))
        }
        Ok((answer, _)) => {
            running.placed.end(AttemptResult::Full);
            // Out of retries, the target's own words say most.
            let will_retry = execution
                .prepare_retry(&target, Failure::Lost)
                .await
                .is_ok();
            Ok((!will_retry).then_some(answer))
        }
        Err(failure) => {
            running.placed.end(failure.attempt_result());
            execution.prepare_retry(&target, failure).await?;
            Ok(None)
        }
    }
}

/// Collects a whole answer and the tokens that it took.
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
            AttemptEvent::Piece(Piece::Head(received)) => {
                on_first_byte();
                head = Some(received);
            }
            AttemptEvent::Piece(Piece::Data(data)) if body.len() + data.len() > max => {
                return Err(Failure::TooLarge);
            }
            AttemptEvent::Piece(Piece::Data(data)) => {
                body.extend_from_slice(&data);
                attempt.acknowledge().await;
            }
            AttemptEvent::Piece(Piece::Whole(end)) => {
                let head = head.ok_or(Failure::Lost)?;
                let answer = Answer {
                    status: head.status,
                    headers: head.headers,
                    body: body.freeze(),
                };
                return Ok((answer, used_tokens(&end)));
            }
            _ => return Err(Failure::Lost),
        }
    }
}

/// Tokens that the target says an answer took.
pub(crate) fn used_tokens(end: &AnswerEnd) -> u32 {
    let usage = end.usage.unwrap_or_default();
    usage.prompt_tokens.saturating_add(usage.completion_tokens)
}
