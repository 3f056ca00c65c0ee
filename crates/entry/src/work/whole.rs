//! Repeatable requests whose answer is given as a whole.

use std::time::Instant;

use admin::Problem;
use bytes::BytesMut;
use route::AttemptResult;
use wire::AnswerPart;
use wire::proto::{AnswerEnd, AnswerHead};

use super::answer::Answer;
use super::attempt::{Attempt, Next};
use super::course::{Course, Live};
use super::failure::Failure;
use crate::placement::StartAt;

/// Statuses by which a target says that it could not do the work now.
const PASSING: [u32; 3] = [429, 502, 503];

/// Runs a repeatable request until there is a whole answer.
pub(crate) async fn run_whole(mut course: Course) -> Result<Answer, Problem> {
    loop {
        let live = course.begin(StartAt::Beginning).await?;
        if let Some(answer) = finish_whole(&mut course, live, None).await? {
            return Ok(answer);
        }
    }
}

/// Collects the answer of an attempt whose head may have come already.
/// `None` when the request is to be tried again.
pub(crate) async fn finish_whole(
    course: &mut Course,
    mut live: Live,
    head: Option<AnswerHead>,
) -> Result<Option<Answer>, Problem> {
    let target = live.placed.agent().name.clone();
    let deadline = course.job.deadline;
    let max = course.cx.limits.answer;
    let first = || live.placed.answered();
    match collect(&mut live.attempt, head, max, deadline, first).await {
        Ok((answer, used)) if !PASSING.contains(&answer.status) => {
            course.permit.set_used(used);
            live.placed.end(AttemptResult::Completed);
            Ok(Some(answer))
        }
        Ok((answer, _)) => {
            live.placed.end(AttemptResult::Full);
            // Out of retries, the target's own words say most.
            let again = course.retry(&target, Failure::Lost).await.is_ok();
            Ok((!again).then_some(answer))
        }
        Err(failure) => {
            live.placed.end(failure.ending());
            course.retry(&target, failure).await?;
            Ok(None)
        }
    }
}

/// Collects a whole answer and the tokens that it took.
pub(crate) async fn collect(
    attempt: &mut Attempt,
    mut head: Option<AnswerHead>,
    max: usize,
    deadline: Instant,
    first: impl Fn(),
) -> Result<(Answer, u32), Failure> {
    let mut body = BytesMut::new();
    loop {
        let next = attempt.next(deadline).await;
        if let Some(failure) = Failure::of(&next) {
            return Err(failure);
        }
        match next {
            Next::Piece(AnswerPart::Head(given)) => {
                first();
                head = Some(given);
            }
            Next::Piece(AnswerPart::Data(data)) if body.len() + data.len() > max => {
                return Err(Failure::TooLarge);
            }
            Next::Piece(AnswerPart::Data(data)) => {
                body.extend_from_slice(&data);
                attempt.acknowledge().await;
            }
            Next::Piece(AnswerPart::Complete(end)) => {
                let head = head.ok_or(Failure::Lost)?;
                let answer = Answer {
                    status: head.status,
                    headers: head.headers,
                    body: body.freeze(),
                };
                return Ok((answer, tokens_of(&end)));
            }
            _ => return Err(Failure::Lost),
        }
    }
}

/// Tokens that the target says an answer took.
pub(crate) fn tokens_of(end: &AnswerEnd) -> u32 {
    let usage = end.usage.unwrap_or_default();
    usage.prompt_tokens.saturating_add(usage.completion_tokens)
}
