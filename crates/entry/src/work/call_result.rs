//! Results of non-repeatable calls.

use admin::{Problem, Ran};
use hyper::StatusCode;
use wire::proto::ClaimOutcome;
use wire::proto::claim_outcome::Kind;

use super::answer::{Answer, Confirmation};
use super::execution::RETRY_AFTER;

/// Result of a non-repeatable call.
pub(super) type CallResult = Result<Answer, Problem>;

/// Detail for a call whose target is unreachable.
pub(super) const UNREACHABLE: &str =
    "the call's target can't be reached now; ask again with the same key";

/// The result for a record whose attempt is not running.
pub(super) fn recorded_result(record: ClaimOutcome) -> CallResult {
    match record.kind() {
        Kind::Finished => Ok(answer_of(record.answer.unwrap_or_default())),
        Kind::Mismatch => Err(Problem::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "the idempotency key was used for another request",
        )),
        Kind::Full => {
            let mut problem = Problem::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "no room for the record of another call",
            );
            problem.retry_after = Some(RETRY_AFTER);
            Err(problem)
        }
        Kind::Unknown => {
            let detail = format!("the outcome can't be learnt any more: {}", record.reason);
            let mut problem = Problem::new(StatusCode::CONFLICT, detail);
            problem.ran = Ran::Unknown;
            Err(problem)
        }
        Kind::Unspecified | Kind::Claimed | Kind::Running => Err(outcome_pending(
            StatusCode::SERVICE_UNAVAILABLE,
            UNREACHABLE,
        )),
    }
}

fn answer_of(answer: wire::proto::Answer) -> Answer {
    Answer {
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
        confirmation: Confirmation::Complete,
    }
}

/// The outcome is not known yet but may be later.
pub(super) fn outcome_pending(status: StatusCode, detail: &str) -> Problem {
    let mut problem = Problem::new(status, detail);
    problem.ran = Ran::Unknown;
    problem.retry_after = Some(RETRY_AFTER);
    problem
}
