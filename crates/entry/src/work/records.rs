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
use super::cx::Cx;
use super::once::OnceJob;
use super::told::{Called, stands, still_open};

/// For how long an outcome is offered to the ledger.
const FINISH: Duration = Duration::from_mins(1);
/// For a read of the ledger.
const READ: Duration = Duration::from_secs(1);
const UNAVAILABLE: &str = "the ledger can't be reached; ask again with the same key";

/// What the ledger holds of a call.
pub(super) enum Stood {
    /// Nothing.
    Free,
    /// An attempt that is not over.
    Open,
    /// An outcome.
    Over(ClaimOutcome),
    /// It could not be asked.
    Unsure,
}

/// The record of one call in the ledger.
pub(super) struct Records {
    follower: Follower,
    account: String,
    service: String,
    key: Bytes,
    digest: Bytes,
    commit: Duration,
    deadline: Instant,
}

impl Records {
    pub(super) fn new(cx: &Cx, once: &OnceJob) -> Self {
        Records {
            follower: cx.follower.clone(),
            account: once.job.account.clone(),
            service: once.job.pool.as_str().to_owned(),
            key: once.key.clone(),
            digest: once.digest.clone(),
            commit: cx.timing.commit,
            deadline: once.job.deadline,
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
            _ => Err(still_open(StatusCode::SERVICE_UNAVAILABLE, UNAVAILABLE)),
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
            _ => Err(still_open(StatusCode::SERVICE_UNAVAILABLE, UNAVAILABLE)),
        }
    }

    /// Records the answer; what is given out is what the ledger holds then.
    ///
    /// # Errors
    ///
    /// The ledger can't be reached: nothing is known to be recorded.
    pub(super) async fn finish(&self, attempt: &Bytes, answer: Answer) -> Result<Called, Problem> {
        let result = finish::Result::Answer(wire::proto::Answer {
            status: answer.status,
            headers: answer.headers.clone(),
            body: answer.body.clone(),
        });
        let record = self.record(attempt, result).await?;
        if record.attempt == *attempt || record.attempt.is_empty() {
            // It is this attempt's record, even if the answer was too large
            // for the ledger to keep.
            return Ok(Ok(answer));
        }
        Ok(stands(record))
    }

    /// Records that nobody can learn what became of the attempt.
    pub(super) async fn unknown(&self, attempt: &Bytes, reason: &str) -> Called {
        let result = finish::Result::Unknown(Unknown {
            reason: reason.to_owned(),
        });
        stands(self.record(attempt, result).await?)
    }

    /// What the ledger holds of the call.
    pub(super) async fn look(&self) -> Stood {
        let query = query::Body::Record(RecordQuery {
            account: self.account.clone(),
            key: self.key.clone(),
        });
        let reply = self.follower.query(query, READ).await;
        let Ok(Some(query_reply::Body::Record(record))) = reply.map(|reply| reply.body) else {
            return Stood::Unsure;
        };
        match record.kind() {
            Kind::Unspecified => Stood::Free,
            Kind::Claimed | Kind::Running => Stood::Open,
            Kind::Finished | Kind::Unknown | Kind::Mismatch | Kind::Full => Stood::Over(record),
        }
    }

    /// What a caller is told whose call is refused before it could claim its
    /// key. This submission did not run, but an earlier one with the same key
    /// may have: a caller who is told "not run" could send the call again
    /// under another key, and it would run twice.
    pub(super) async fn refuse(&self, mut problem: Problem) -> Called {
        match self.look().await {
            Stood::Free => Err(problem),
            Stood::Over(record) => stands(record),
            Stood::Open | Stood::Unsure => {
                problem.ran = Ran::Unknown;
                Err(problem)
            }
        }
    }

    async fn record(
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
        match self.propose(finish, FINISH).await {
            Some(outcome::Body::Finish(outcome)) => {
                let mut record = outcome.record.unwrap_or_default();
                if outcome.stored && record.attempt.is_empty() {
                    record.attempt = attempt.clone();
                }
                Ok(record)
            }
            _ => Err(still_open(StatusCode::SERVICE_UNAVAILABLE, UNAVAILABLE)),
        }
    }

    async fn propose(&self, command: command::Body, within: Duration) -> Option<outcome::Body> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let within = if within == FINISH {
            within
        } else {
            // A claim is settled even when little time is left.
            within.min(left.max(READ))
        };
        let asked = match &command {
            // The call has run: its outcome is offered as long as there is time.
            command::Body::Finish(_) => self.follower.propose(command, within).await,
            _ => self.follower.propose_fail_fast(command, within).await,
        };
        asked.body
    }
}
