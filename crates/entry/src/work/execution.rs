//! Execution of a request over one or more attempts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use admin::{Problem, Ran};
use hyper::StatusCode;
use route::AttemptResult;
use tokio::time::sleep;
use tracing::Span;
use wire::proto::Refusal;

use super::attempt::{Attempt, StartOutcome};
use super::context::ExecutionContext;
use super::failure::Failure;
use super::start_message::start_message;
use crate::job::Job;
use crate::placement::{AttemptRequirements, Permit, PlacedAttempt, QuarantineStatus, StartAt};

/// Pause before searching again for a target with capacity. After a refresh of the
/// release note it is multiplied by the number of refreshes.
const SEARCH_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of release note refreshes per request.
const MAX_NOTE_REFRESHES: u32 = 12;
/// Suggested retry delay after a transient failure.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum pause before a further attempt, multiplied by the number of attempts so far.
const RETRY_BACKOFF: Duration = Duration::from_millis(25);

/// A request in execution: its previous attempts and whether it may have run.
pub(crate) struct Execution {
    pub(crate) context: ExecutionContext,
    pub(crate) job: Job,
    pub(crate) permit: Permit,
    requirements: AttemptRequirements,
    attempts: u32,
    note_refreshes: u32,
    ran: Ran,
}

/// A running attempt and its assignment to a target.
pub(crate) struct RunningAttempt {
    pub(crate) attempt: Box<Attempt>,
    pub(crate) placed: PlacedAttempt,
    /// Kept open for the duration of the attempt.
    _span: Span,
}

impl Execution {
    pub(crate) fn new(context: ExecutionContext, job: Job, permit: Permit) -> Self {
        Execution {
            context,
            job,
            permit,
            requirements: AttemptRequirements::default(),
            attempts: 0,
            note_refreshes: 0,
            ran: Ran::No,
        }
    }

    /// Starts the first or a further attempt at a selected target.
    pub(crate) async fn start_attempt(
        &mut self,
        start_at: StartAt,
    ) -> Result<RunningAttempt, Problem> {
        self.requirements.start = start_at;
        loop {
            self.back_off().await;
            let placed = self.find_target().await?;
            let (start, span) = start_message(&self.context, &self.job, &placed, start_at);
            let agent = Arc::clone(placed.agent());
            self.attempts += 1;
            let window = self.context.limits.window;
            let started = Attempt::start(&agent, start, window, &self.context.timing).await;
            let failure = match started {
                StartOutcome::Running(attempt) => {
                    let (id, target) = (self.job.id.as_str(), agent.name.as_str());
                    log::debug!(request = id, target = target; "attempt taken");
                    return Ok(RunningAttempt {
                        attempt,
                        placed,
                        _span: span,
                    });
                }
                StartOutcome::Refused(Refusal::Note) => {
                    placed.end(AttemptResult::Cancelled);
                    self.attempts -= 1;
                    self.refresh_note().await?;
                    continue;
                }
                StartOutcome::Refused(refusal) => {
                    let full = refusal == Refusal::Full;
                    placed.end(if full {
                        AttemptResult::Full
                    } else {
                        AttemptResult::Cancelled
                    });
                    Failure::NotRun
                }
                StartOutcome::NotRun => {
                    placed.end(AttemptResult::Failed);
                    Failure::NotRun
                }
                StartOutcome::Lost => {
                    placed.end(AttemptResult::Failed);
                    Failure::Lost
                }
            };
            self.prepare_retry(&agent.name, failure).await?;
        }
    }

    /// Waits for a random time before a further attempt, so that requests that failed
    /// together are not retried together.
    async fn back_off(&self) {
        if self.attempts > 0 {
            let back_off = RETRY_BACKOFF * self.attempts;
            sleep(back_off.mul_f64(rand::random_range(0.0..1.0))).await;
        }
    }

    /// Records the failure of an attempt and checks whether another one may be started.
    /// If not, the error is the answer for the caller.
    pub(crate) async fn prepare_retry(
        &mut self,
        target: &str,
        failure: Failure,
    ) -> Result<(), Problem> {
        self.ran = combine_ran(self.ran, failure.ran());
        self.requirements.avoid.push(target.to_owned());
        let (id, detail) = (self.job.id.as_str(), failure.detail());
        log::info!(request = id, target = target; "attempt failed: {detail}");
        if failure == Failure::Crashed {
            self.handle_crash().await?;
        }
        let deadline_passed = Instant::now() >= self.job.deadline;
        let can_retry = failure.is_retryable()
            && !deadline_passed
            && self.attempts < self.context.limits.attempts;
        if can_retry && self.context.placement.withdraw_retry() {
            self.context.metrics.retries.inc();
            return Ok(());
        }
        Err(self.failure_problem(if deadline_passed {
            Failure::DeadlinePassed
        } else {
            failure
        }))
    }

    /// Records that the target crashed while it ran the request, and refreshes the
    /// quarantine. Without this, a request that crashes targets could crash another one
    /// before this entry learns of its quarantine.
    async fn handle_crash(&mut self) -> Result<(), Problem> {
        self.context.placement.record_crash(self.job.fingerprint);
        // If the refresh fails, the entry's own record of the crash applies.
        let _ =
            tokio::time::timeout(self.context.timing.start, self.context.follower.refresh()).await;
        let quarantine = self.context.follower.quarantine();
        self.context.placement.set_quarantine(&quarantine);
        match self.context.placement.quarantine_status(&self.job) {
            QuarantineStatus::Allowed(suspicion) => {
                self.job.suspicion = suspicion;
                Ok(())
            }
            QuarantineStatus::Convicted => {
                let mut problem = convicted_problem();
                problem.ran = self.ran;
                Err(problem)
            }
        }
    }

    /// Records that the request has run, as a part of the answer has arrived.
    pub(crate) fn mark_as_run(&mut self) {
        self.ran = Ran::Yes;
    }

    /// Waits until the entry and the agent have the same release note in force: the
    /// side with the older one refreshes it.
    pub(crate) async fn refresh_note(&mut self) -> Result<(), Problem> {
        self.note_refreshes += 1;
        let left = self.job.deadline.saturating_duration_since(Instant::now());
        if self.note_refreshes > MAX_NOTE_REFRESHES || left.is_zero() {
            return Err(self.failure_problem(Failure::NotRun));
        }
        let timeout = self.context.timing.renew.min(left);
        // If the refresh fails, the next lease renewal updates the note.
        let _ = tokio::time::timeout(timeout, self.context.follower.refresh()).await;
        sleep(SEARCH_INTERVAL * self.note_refreshes).await;
        Ok(())
    }

    /// Waits for a target with capacity.
    #[tracing::instrument(name = "choice", skip_all, fields(request = %self.job.id))]
    pub(crate) async fn find_target(&mut self) -> Result<PlacedAttempt, Problem> {
        let queue_deadline = Instant::now() + self.context.timing.queue_wait;
        let until = queue_deadline.min(self.job.deadline);
        loop {
            if let Some(placed) = self.context.placement.place(&self.job, &self.requirements) {
                return Ok(placed);
            }
            if !self.requirements.avoid.is_empty() {
                // Retrying at the same target is better than failing.
                self.requirements.avoid.clear();
                continue;
            }
            if Instant::now() >= until {
                return Err(self.no_capacity_problem());
            }
            sleep(SEARCH_INTERVAL).await;
        }
    }

    /// The error for the caller when the request has failed.
    fn failure_problem(&self, failure: Failure) -> Problem {
        let status = match failure {
            Failure::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Failure::TooLarge => StatusCode::BAD_GATEWAY,
            _ if self.ran == Ran::No => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_GATEWAY,
        };
        let mut problem = Problem::new(status, failure.detail());
        problem.ran = self.ran;
        problem.retry_after = Some(RETRY_AFTER);
        problem
    }

    fn no_capacity_problem(&self) -> Problem {
        let detail = format!("no target of {:?} has room", self.job.pool.as_str());
        let mut problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, detail);
        problem.ran = self.ran;
        problem.retry_after = Some(RETRY_AFTER);
        problem
    }
}

/// Refusal of a request that has crashed targets.
pub(crate) fn convicted_problem() -> Problem {
    let detail = "this request crashed targets; an operator can pardon it";
    Problem::new(StatusCode::UNPROCESSABLE_ENTITY, detail)
}

/// Combines two outcomes: the request ran if either says so, and otherwise it is
/// unknown if either is unknown.
fn combine_ran(a: Ran, b: Ran) -> Ran {
    match (a, b) {
        (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
        (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
        (Ran::No, Ran::No) => Ran::No,
    }
}
