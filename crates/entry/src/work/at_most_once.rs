//! Calls that may not be repeated.

use std::time::{Duration, Instant};

use admin::Problem;
use bytes::Bytes;
use hyper::StatusCode;
use route::AttemptResult;
use tokio::sync::oneshot;
use tokio::time::timeout;
use wire::Link;
use wire::proto::claim_outcome::Kind;
use wire::proto::{AttemptState, ClaimOutcome, Refusal};

use super::answer::Answer;
use super::attempt::{Attempt, JoinOutcome, StartOutcome};
use super::buffered::collect_answer;
use super::call_result::{UNREACHABLE, outcome_pending, recorded_result};
use super::context::ExecutionContext;
use super::execution::Execution;
use super::failure::Failure;
use super::ledger_record::{LedgerRecord, RecordState};
use super::start_message::start_message;
use crate::job::Job;
use crate::placement::{Permit, PlacedAttempt, StartAt};

/// Time beyond its deadline for which a running call is followed, so that its
/// outcome is recorded even if its caller no longer waits.
const RECORDING_GRACE: Duration = Duration::from_secs(30);
/// Between two looks at whether another entry has recorded the outcome.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Before the first look while an attempt is followed; each further one waits
/// twice as long. Mostly the answer comes first; where a caller sent its call
/// through two entries at once, one of them gets no frames and must not keep
/// it waiting.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(20);
/// Between two looks while an attempt is followed, at most.
const MAX_POLL_DELAY: Duration = Duration::from_secs(1);
/// Claims for one call before it is given up.
const MAX_CLAIMS: u32 = 16;

/// A call that may not be repeated.
pub(crate) struct AtMostOnceJob {
    pub(crate) job: Job,
    /// The caller's idempotency key.
    pub(crate) key: Bytes,
    /// SHA-256 of method, path and body.
    pub(crate) digest: Bytes,
}

/// Runs a call that may not be repeated.
///
/// It runs on a task of its own, for it must be followed to its end even when
/// its caller goes away: an outcome that nobody records is unknown for good.
pub(crate) async fn run_at_most_once(
    context: ExecutionContext,
    call: AtMostOnceJob,
    permit: Permit,
) -> Result<Answer, Problem> {
    let deadline = call.job.deadline;
    let tracker = context.tracker.clone();
    let ledger_record = LedgerRecord::new(&context, &call);
    let call = AtMostOnceCall {
        execution: Execution::new(context, call.job, permit),
        ledger_record,
    };
    let (tx, rx) = oneshot::channel();
    tracker.spawn(async move {
        // The caller may have gone; the record stands either way.
        let _ = tx.send(call.run().await);
    });
    let left = deadline.saturating_duration_since(Instant::now());
    match timeout(left, rx).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) | Err(_) => Err(outcome_pending(
            StatusCode::GATEWAY_TIMEOUT,
            DEADLINE_PASSED,
        )),
    }
}

/// Answers a call that is refused before anything was sent.
pub(crate) async fn refuse_at_most_once(
    context: &ExecutionContext,
    call: &AtMostOnceJob,
    problem: Problem,
) -> Result<Answer, Problem> {
    LedgerRecord::new(context, call).refuse(problem).await
}

const DEADLINE_PASSED: &str =
    "the deadline passed before the outcome was recorded; ask again with the key";

struct AtMostOnceCall {
    execution: Execution,
    ledger_record: LedgerRecord,
}

/// What is to be done next with a call.
enum Step {
    /// Its caller is answered.
    Answer(Result<Answer, Problem>),
    /// The key is free again: claim it anew.
    ClaimAgain,
}

impl AtMostOnceCall {
    async fn run(mut self) -> Result<Answer, Problem> {
        for _ in 0..MAX_CLAIMS {
            if Instant::now() >= self.execution.job.deadline {
                break;
            }
            match self.claim().await {
                Ok(Step::Answer(answer)) => return answer,
                Ok(Step::ClaimAgain) => {}
                Err(problem) => return Err(problem),
            }
        }
        Err(outcome_pending(
            StatusCode::GATEWAY_TIMEOUT,
            DEADLINE_PASSED,
        ))
    }

    /// Claims the key for an attempt and takes it from there.
    async fn claim(&mut self) -> Result<Step, Problem> {
        let placed = match self.execution.find_target().await {
            Ok(placed) => placed,
            Err(problem) => return Ok(Step::Answer(self.ledger_record.refuse(problem).await)),
        };
        let context = &self.execution.context;
        let (mut start, _span) =
            start_message(context, &self.execution.job, &placed, StartAt::Beginning);
        start.keep = true;
        let attempt = start.attempt.clone();
        let agent = placed.agent();
        // The start goes out on no later connection than this. An entry that
        // is stopped after its claim finds it closed when it goes on, and so
        // can't start an attempt that was barred so long ago that its agent
        // no longer remembers the bar.
        let link = agent.current_link();
        let record = self
            .ledger_record
            .claim(&attempt, &agent.name, agent.incarnation);
        let record = record.await?;
        let is_ours = record.attempt == attempt;
        match record.kind() {
            Kind::Claimed => self.start(placed, link, start).await,
            Kind::Running if is_ours => self.start(placed, link, start).await,
            Kind::Running => {
                drop(placed);
                self.join(record).await
            }
            Kind::Unknown if !record.attempt.is_empty() => {
                drop(placed);
                self.join_unknown(record).await
            }
            _ => Ok(Step::Answer(recorded_result(record))),
        }
    }

    /// Starts the attempt that the claim is for.
    async fn start(
        &mut self,
        placed: PlacedAttempt,
        link: Option<Link>,
        start: wire::proto::Start,
    ) -> Result<Step, Problem> {
        let id = start.attempt.clone();
        let agent = placed.agent().clone();
        let context = &self.execution.context;
        let started =
            Attempt::start_on(&agent, link, start, context.limits.window, &context.timing).await;
        match started {
            StartOutcome::Running(attempt) => {
                let on_first_byte = || placed.record_first_byte();
                let step = self.follow(attempt, &id, on_first_byte).await;
                placed.end(AttemptResult::Completed);
                step
            }
            StartOutcome::Refused(Refusal::Note) => {
                placed.end(AttemptResult::Cancelled);
                self.ledger_record.release(&id).await?;
                self.execution.refresh_note().await?;
                Ok(Step::ClaimAgain)
            }
            StartOutcome::Refused(refusal) => {
                let full = refusal == Refusal::Full;
                placed.end(if full {
                    AttemptResult::Full
                } else {
                    AttemptResult::Cancelled
                });
                self.release_and_retry(&id, &agent.name).await
            }
            StartOutcome::NotRun => {
                placed.end(AttemptResult::Failed);
                self.release_and_retry(&id, &agent.name).await
            }
            StartOutcome::Lost => {
                placed.end(AttemptResult::Failed);
                let record = ClaimOutcome {
                    attempt: id,
                    target: agent.name.clone(),
                    incarnation: agent.incarnation,
                    ..ClaimOutcome::default()
                };
                self.join(record).await
            }
        }
    }

    /// The attempt never ran and never will: frees the key, and tries again
    /// within the limits of retries.
    async fn release_and_retry(&mut self, id: &Bytes, target: &str) -> Result<Step, Problem> {
        self.ledger_record.release(id).await?;
        match self.execution.prepare_retry(target, Failure::NotRun).await {
            Ok(()) => Ok(Step::ClaimAgain),
            Err(problem) => Ok(Step::Answer(Err(problem))),
        }
    }

    /// Another attempt holds the key, started by another entry or before a
    /// connection was lost: finds out at its agent what became of it.
    async fn join(&mut self, record: ClaimOutcome) -> Result<Step, Problem> {
        let context = self.execution.context.clone();
        let until = Instant::now() + context.timing.start;
        loop {
            let Some(agent) = context.placement.agent(&record.target) else {
                return self.wait_for_record().await;
            };
            let id = record.attempt.clone();
            let joined = Attempt::join(&agent, id, context.limits.window, &context.timing).await;
            let state = match joined {
                JoinOutcome::Attached(attempt) => {
                    return self.follow(attempt, &record.attempt, || ()).await;
                }
                JoinOutcome::Unreachable => return self.wait_for_record().await,
                JoinOutcome::State(state) => state,
            };
            // Its entry may be about to start it; only when it had the time
            // to, the attempt is barred.
            let may_still_start = state == AttemptState::Absent && Instant::now() < until;
            let same_incarnation = agent.incarnation == record.incarnation;
            if may_still_start && same_incarnation {
                if let Some(step) = self.poll_record().await {
                    return Ok(step);
                }
                continue;
            }
            return self.bar_attempt(&agent, &record).await;
        }
    }

    /// Nothing was heard of the attempt in time. Its agent may have stood still
    /// and be at work on it now: then its answer is still worth having. If the
    /// agent can't be reached at once, the caller isn't kept waiting.
    async fn join_unknown(&mut self, record: ClaimOutcome) -> Result<Step, Problem> {
        let context = &self.execution.context;
        let agent = context.placement.agent(&record.target);
        let agent = agent.filter(|agent| agent.incarnation == record.incarnation);
        let Some(agent) = agent.filter(|agent| agent.is_connected()) else {
            return Ok(Step::Answer(recorded_result(record)));
        };
        let id = record.attempt.clone();
        match Attempt::join(&agent, id, context.limits.window, &context.timing).await {
            JoinOutcome::Attached(attempt) => self.follow(attempt, &record.attempt, || ()).await,
            JoinOutcome::State(_) | JoinOutcome::Unreachable => {
                Ok(Step::Answer(recorded_result(record)))
            }
        }
    }

    /// Bars an attempt that has not started, and frees its key.
    ///
    /// The reply tells the incarnation that lives now, after the claim was
    /// committed. If it is another one than the claim's, that one is over, and
    /// nobody will ever learn what became of the attempt.
    async fn bar_attempt(
        &mut self,
        agent: &crate::links::Agent,
        record: &ClaimOutcome,
    ) -> Result<Step, Problem> {
        let context = self.execution.context.clone();
        let Some(link) = agent.wait_for_link(context.timing.link_grace).await else {
            return self.wait_for_record().await;
        };
        let Some(reply) = super::attempt::bar(&link, &record.attempt, &context.timing).await else {
            return self.wait_for_record().await;
        };
        if reply.incarnation != record.incarnation {
            return self
                .record_unknown(&record.attempt, "the target was restarted")
                .await;
        }
        match reply.state() {
            AttemptState::Barred => {
                self.ledger_record.release(&record.attempt).await?;
                Ok(Step::ClaimAgain)
            }
            AttemptState::Forgotten => {
                if let Some(step) = self.poll_record().await {
                    return Ok(step);
                }
                let reason = "the target no longer keeps the answer";
                self.record_unknown(&record.attempt, reason).await
            }
            // It started in between.
            _ => Ok(Step::ClaimAgain),
        }
    }

    /// Follows a running attempt to its end and records its outcome, unless
    /// another entry does so first.
    async fn follow(
        &mut self,
        mut attempt: Box<Attempt>,
        id: &Bytes,
        on_first_byte: impl Fn(),
    ) -> Result<Step, Problem> {
        let deadline = self.execution.job.deadline + RECORDING_GRACE;
        let max = self.execution.context.limits.answer;
        let agent = attempt.agent().clone();
        let result = {
            let collect = collect_answer(&mut attempt, None, max, deadline, on_first_byte);
            let mut collect = std::pin::pin!(collect);
            let mut pause = FIRST_POLL_DELAY;
            loop {
                tokio::select! {
                    result = collect.as_mut() => break result,
                    () = tokio::time::sleep(pause) => {}
                }
                pause = (pause * 2).min(MAX_POLL_DELAY);
                // The frames go to whoever attached last, which may be
                // another entry with the same call.
                if let Some(step) = self.poll_answer().await {
                    return Ok(step);
                }
            }
        };
        match result {
            Ok((answer, used)) => {
                self.execution.permit.set_used(used);
                // Until it is recorded the agent must keep it: nobody else
                // could tell what came of the call.
                let answer = self.ledger_record.finish(id, answer).await?;
                attempt.confirm_recorded().await;
                Ok(Step::Answer(answer))
            }
            Err(Failure::NotRun) => {
                let target = agent.name.clone();
                self.release_and_retry(id, &target).await
            }
            Err(failure @ (Failure::Crashed | Failure::TooLarge)) => {
                if failure == Failure::Crashed {
                    let fingerprint = self.execution.job.fingerprint;
                    self.execution.context.placement.record_crash(fingerprint);
                }
                self.record_unknown(id, failure.detail()).await
            }
            Err(failure) if attempt.has_ended() || agent.ended.is_cancelled() => {
                self.record_unknown(id, failure.detail()).await
            }
            // It may still run: the record leads back to it.
            Err(_) => {
                tokio::time::sleep(POLL_INTERVAL).await;
                Ok(Step::ClaimAgain)
            }
        }
    }

    /// Records for good that nobody can learn what became of the attempt.
    async fn record_unknown(&mut self, id: &Bytes, reason: &str) -> Result<Step, Problem> {
        let answer = self.ledger_record.finish_unknown(id, reason).await;
        Ok(Step::Answer(answer))
    }

    /// The agent can't be asked: waits for another entry to record an outcome
    /// while there is time.
    async fn wait_for_record(&mut self) -> Result<Step, Problem> {
        let grace = Instant::now() + self.execution.context.timing.link_grace;
        let until = grace.min(self.execution.job.deadline);
        while Instant::now() < until {
            if let Some(step) = self.poll_record().await {
                return Ok(step);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let problem = outcome_pending(StatusCode::SERVICE_UNAVAILABLE, UNREACHABLE);
        Ok(Step::Answer(Err(problem)))
    }

    /// Looks whether an outcome is recorded.
    async fn poll_record(&self) -> Option<Step> {
        step_of(self.ledger_record.state().await)
    }

    /// Looks whether the answer of the attempt that is followed is recorded.
    /// "Unknown" is none: the attempt that is followed may yet tell.
    async fn poll_answer(&self) -> Option<Step> {
        match self.ledger_record.state().await {
            RecordState::Settled(record) if record.kind() == Kind::Unknown => None,
            state => step_of(state),
        }
    }
}

fn step_of(state: RecordState) -> Option<Step> {
    match state {
        RecordState::Settled(record) => Some(Step::Answer(recorded_result(record))),
        RecordState::Absent => Some(Step::ClaimAgain),
        RecordState::Open | RecordState::Unavailable => None,
    }
}
