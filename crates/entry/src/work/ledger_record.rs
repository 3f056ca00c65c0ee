//! The ledger record of a non-repeatable call.

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

/// Timeout for recording an outcome in the ledger.
const FINISH_TIMEOUT: Duration = Duration::from_mins(1);
/// Timeout for reading the ledger.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
const LEDGER_UNREACHABLE: &str = "the ledger can't be reached; ask again with the same key";

/// State of a call in the ledger.
pub(super) enum RecordState {
    /// No record.
    Absent,
    /// An attempt that has not ended.
    Open,
    /// A final outcome.
    Settled(ClaimOutcome),
    /// The ledger is unreachable.
    Unavailable,
}

/// The ledger record of a non-repeatable call.
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

    /// Claims the key for an attempt, or returns the record that holds it.
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
            // An earlier call with the same key may have run.
            _ => Err(outcome_pending(
                StatusCode::SERVICE_UNAVAILABLE,
                LEDGER_UNREACHABLE,
            )),
        }
    }

    /// Releases the key of an attempt that did not run and never will.
    pub(super) async fn release(&self, attempt: &Bytes) -> Result<(), Problem> {
        let release = command::Body::Release(Release {
            account: self.account.clone(),
            key: self.key.clone(),
            attempt: attempt.clone(),
        });
        match self.propose(release, self.commit).await {
            // If the key was not released, the next claim returns the record that holds
            // it.
            Some(outcome::Body::Release(_)) => Ok(()),
            _ => Err(outcome_pending(
                StatusCode::SERVICE_UNAVAILABLE,
                LEDGER_UNREACHABLE,
            )),
        }
    }

    /// Records the answer and returns the one that is then in the ledger.
    ///
    /// # Errors
    ///
    /// The ledger is unreachable; it is unknown whether the answer was recorded.
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
            // The record belongs to this attempt, even if the answer was too large to
            // be stored.
            return Ok(Ok(answer));
        }
        Ok(recorded_result(record))
    }

    /// Records that the outcome of the attempt is unknown.
    pub(super) async fn finish_unknown(&self, attempt: &Bytes, reason: &str) -> CallResult {
        let result = finish::Result::Unknown(Unknown {
            reason: reason.to_owned(),
        });
        recorded_result(self.propose_finish(attempt, result).await?)
    }

    /// Queries the state of the call.
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

    /// Answers a caller whose call is refused before it claimed its key. This
    /// submission did not run, but an earlier one with the same key may have run. A
    /// caller that is told "not run" could send the call again under another key, and
    /// it would run twice.
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
            // Allow enough time to complete the command even shortly before the
            // deadline.
            timeout.min(left.max(READ_TIMEOUT))
        };
        let reply = match &command {
            // The call has run, so its outcome is proposed until the timeout.
            command::Body::Finish(_) => self.follower.propose(command, timeout).await,
            _ => self.follower.propose_fail_fast(command, timeout).await,
        };
        reply.body
    }
}
