//! A call's record in the ledger.

use std::time::{Duration, Instant};

use admin::{Problem, Ran};
use bytes::Bytes;
use hyper::StatusCode;
use node::Follower;
use wire::proto::claim_outcome::Kind;
use wire::proto::{
    Claim, ClaimOutcome, Finish, RecordQuery, Release, Unknown, command, finish, outcome, query,
    query_reply,
};

use super::answer::Answer;
use super::at_most_once::AtMostOnceJob;
use super::call_result::{CallResult, outcome_pending, recorded_result};
use super::context::ExecutionContext;

/// For how long an outcome is offered to the ledger.
const FINISH_TIMEOUT: Duration = Duration::from_mins(1);
/// For a read of the ledger.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
const LEDGER_UNREACHABLE: &str = "the ledger can't be reached; ask again with the same key";

/// What the ledger holds of a call.
pub(super) enum RecordState {
    /// Nothing.
    Absent,
    /// An attempt that is not over.
    Open,
    /// An outcome.
    Settled(ClaimOutcome),
    /// It could not be asked.
    Unavailable,
}

/// The record of one call in the ledger.
pub(super) struct LedgerRecord {
    follower: Follower,
    account: String,
    service: String,
    key: Bytes,
    digest: Bytes,
    commit: Duration,
    deadline: Instant,
}

impl LedgerRecord {
    pub(super) fn new(context: &ExecutionContext, call: &AtMostOnceJob) -> Self {
        LedgerRecord {
            follower: context.follower.clone(),
            account: call.job.account.clone(),
            service: call.job.pool.as_str().to_owned(),
            key: call.key.clone(),
            digest: call.digest.clone(),
            commit: context.timing.commit,
            deadline: call.job.deadline,
        }
    }

    /// Claims the key for an attempt, or says what holds it.
    pub(super) async fn claim(
        &self,
        attempt: &Bytes,
        target: &str,
        incarnation: u64,
    ) -> Result<ClaimOutcome, Problem> {
        let claim = command::Body::Claim(Claim {
            account: self.account.clone(),
            key: self.key.clone(),
            digest: self.digest.clone(),
            attempt: attempt.clone(),
            target: target.to_owned(),
            incarnation,
            service: self.service.clone(),
        });
        match self.propose(claim, self.commit).await {
            Some(outcome::Body::Claim(record)) => Ok(record),
            // An earlier call with the key may have run.
            _ => Err(outcome_pending(
                StatusCode::SERVICE_UNAVAILABLE,
                LEDGER_UNREACHABLE,
            )),
        }
    }

    /// Frees the key of an attempt that never ran and never will.
    pub(super) async fn release(&self, attempt: &Bytes) -> Result<(), Problem> {
        let release = command::Body::Release(Release {
            account: self.account.clone(),
            key: self.key.clone(),
            attempt: attempt.clone(),
        });
        match self.propose(release, self.commit).await {
            // If it isn't released, the next claim tells what holds the key.
            Some(outcome::Body::Release(_)) => Ok(()),
            _ => Err(outcome_pending(
                StatusCode::SERVICE_UNAVAILABLE,
                LEDGER_UNREACHABLE,
            )),
        }
    }

    /// Records the answer; what is given out is what the ledger holds then.
    ///
    /// # Errors
    ///
    /// The ledger can't be reached: nothing is known to be recorded.
    pub(super) async fn finish(
        &self,
        attempt: &Bytes,
        answer: Answer,
    ) -> Result<CallResult, Problem> {
        let result = finish::Result::Answer(wire::proto::Answer {
            status: answer.status,
            headers: answer.headers.clone(),
            body: answer.body.clone(),
        });
        let record = self.propose_finish(attempt, result).await?;
        if record.attempt == *attempt || record.attempt.is_empty() {
            // It is this attempt's record, even if the answer was too large
            // for the ledger to keep.
            return Ok(Ok(answer));
        }
        Ok(recorded_result(record))
    }

    /// Records that nobody can learn what became of the attempt.
    pub(super) async fn finish_unknown(&self, attempt: &Bytes, reason: &str) -> CallResult {
        let result = finish::Result::Unknown(Unknown {
            reason: reason.to_owned(),
        });
        recorded_result(self.propose_finish(attempt, result).await?)
    }

    /// What the ledger holds of the call.
    pub(super) async fn state(&self) -> RecordState {
        let query = query::Body::Record(RecordQuery {
            account: self.account.clone(),
            key: self.key.clone(),
        });
        let reply = self.follower.query(query, READ_TIMEOUT).await;
        let Ok(Some(query_reply::Body::Record(record))) = reply.map(|reply| reply.body) else {
            return RecordState::Unavailable;
        };
        match record.kind() {
            Kind::Unspecified => RecordState::Absent,
            Kind::Claimed | Kind::Running => RecordState::Open,
            Kind::Finished | Kind::Unknown | Kind::Mismatch | Kind::Full => {
                RecordState::Settled(record)
            }
        }
    }

    /// What a caller is told whose call is refused before it could claim its
    /// key. This submission did not run, but an earlier one with the same key
    /// may have: a caller who is told "not run" could send the call again
    /// under another key, and it would run twice.
    pub(super) async fn refuse(&self, mut problem: Problem) -> CallResult {
        match self.state().await {
            RecordState::Absent => Err(problem),
            RecordState::Settled(record) => recorded_result(record),
            RecordState::Open | RecordState::Unavailable => {
                problem.ran = Ran::Unknown;
                Err(problem)
            }
        }
    }

    async fn propose_finish(
        &self,
        attempt: &Bytes,
        result: finish::Result,
    ) -> Result<ClaimOutcome, Problem> {
        let finish = command::Body::Finish(Finish {
            account: self.account.clone(),
            key: self.key.clone(),
            attempt: attempt.clone(),
            result: Some(result),
        });
        match self.propose(finish, FINISH_TIMEOUT).await {
            Some(outcome::Body::Finish(outcome)) => {
                let mut record = outcome.record.unwrap_or_default();
                if outcome.stored && record.attempt.is_empty() {
                    record.attempt = attempt.clone();
                }
                Ok(record)
            }
            _ => Err(outcome_pending(
                StatusCode::SERVICE_UNAVAILABLE,
                LEDGER_UNREACHABLE,
            )),
        }
    }

    async fn propose(&self, command: command::Body, timeout: Duration) -> Option<outcome::Body> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let timeout = if timeout == FINISH_TIMEOUT {
            timeout
        } else {
            // A claim is settled even when little time is left.
            timeout.min(left.max(READ_TIMEOUT))
        };
        let reply = match &command {
            // The call has run: its outcome is offered as long as there is time.
            command::Body::Finish(_) => self.follower.propose(command, timeout).await,
            _ => self.follower.propose_or_refuse(command, timeout).await,
        };
        reply.body
    }
}
