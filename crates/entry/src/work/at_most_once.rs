//! Non-repeatable calls, which run at most once per idempotency key.

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

use super::answer::{Answer, Confirmation};
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

/// Time after the deadline for which a running call is followed, so that its outcome is
/// recorded even if the caller no longer waits.
const RECORDING_GRACE: Duration = Duration::from_secs(30);
/// Interval for checking whether another entry has recorded the outcome.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Delay of the first such check while an attempt is followed, doubled with each
/// further check. Usually the answer arrives first. If a caller has sent its call
/// through two entries at once, only one of them receives the frames, and the other one
/// must not delay its answer.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(20);
/// Maximum interval of these checks while an attempt is followed.
const MAX_POLL_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of claims for a call.
const MAX_CLAIMS: u32 = 16;

/// A non-repeatable call.
pub(crate) struct AtMostOnceJob {
    pub(crate) job: Job,
    /// The caller's idempotency key.
    pub(crate) key: Bytes,
    /// SHA-256 of method, path and body.
    pub(crate) digest: Bytes,
}

/// Runs a non-repeatable call.
///
/// It runs on a task of its own, as it must be followed to its end even if the caller
/// disconnects: an outcome that is not recorded is lost.
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
        // If the caller has disconnected, the outcome is recorded nevertheless.
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

/// The next step of a call.
enum Step {
    /// Answer the caller.
    Answer(Result<Answer, Problem>),
    /// The key has been released: claim it again.
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

    /// Claims the key for an attempt and proceeds by the result of the claim.
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
        // The start is sent only on the connection that was open before the claim. If
        // this entry is paused after its claim, it finds that connection closed when it
        // resumes. It thus cannot start an attempt that was barred so long ago that the
        // agent has forgotten the bar.
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

    /// Starts the claimed attempt.
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

    /// The attempt did not run and never will: releases the key and retries within the
    /// retry limits.
    async fn release_and_retry(&mut self, id: &Bytes, target: &str) -> Result<Step, Problem> {
        self.ledger_record.release(id).await?;
        match self.execution.prepare_retry(target, Failure::NotRun).await {
            Ok(()) => Ok(Step::ClaimAgain),
            Err(problem) => Ok(Step::Answer(Err(problem))),
        }
    }

    /// Another attempt holds the key; it was started by another entry, or its start
    /// reply was lost. Asks its agent for its state.
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
            // The other entry may be about to start it. The attempt is barred only
            // after that entry has had time to do so.
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

    /// The outcome was recorded as unknown because the attempt was not heard of in
    /// time. If its agent was only paused and is running it now, its answer can still
    /// be returned. The caller is not kept waiting for an agent without a connection.
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

    /// Bars an attempt that has not started, and releases its key.
    ///
    /// The reply contains the current incarnation, which is read after the claim was
    /// committed. If it differs from that of the claim, the claimed incarnation has
    /// ended and the outcome of the attempt can never be known.
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
            // The attempt has started in the meantime.
            _ => Ok(Step::ClaimAgain),
        }
    }

    /// Follows a running attempt to its end and records its outcome, unless another
    /// entry records it first.
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
                // Frames are sent to the entry that attached last, which may be another
                // entry with the same call.
                if let Some(step) = self.poll_answer().await {
                    return Ok(step);
                }
            }
        };
        match result {
            // What is recorded is repeated to callers as complete.
            Ok((answer, _)) if answer.confirmation == Confirmation::Unknown => {
                self.record_unknown(id, Failure::Lost.detail()).await
            }
            Ok((answer, used)) => {
                self.execution.permit.set_used(used);
                // The agent must keep the answer until it is recorded, as no other node
                // has a copy.
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
            // The attempt may still be running; claiming again finds its record.
            Err(_) => {
                tokio::time::sleep(POLL_INTERVAL).await;
                Ok(Step::ClaimAgain)
            }
        }
    }

    /// Records permanently that the outcome of the attempt is unknown.
    async fn record_unknown(&mut self, id: &Bytes, reason: &str) -> Result<Step, Problem> {
        let answer = self.ledger_record.finish_unknown(id, reason).await;
        Ok(Step::Answer(answer))
    }

    /// The agent is unreachable: waits for another entry to record an outcome, at most
    /// for the grace period or until the deadline.
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

    /// Checks whether an outcome has been recorded.
    async fn poll_record(&self) -> Option<Step> {
        step_of(self.ledger_record.state().await)
    }

    /// Checks whether the answer of the followed attempt has been recorded. A recorded
    /// "unknown" does not count, as the attempt may still deliver its answer.
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
