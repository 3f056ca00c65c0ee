//! A request on its way from attempt to attempt.

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

/// Pause before looking again for a target with room.
const PLACEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Refreshes of the release note for one request.
const MAX_NOTE_REFRESHES: u32 = 12;
/// When to come back after a fault that usually passes in moments.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest pause before each further attempt.
const RETRY_BACKOFF: Duration = Duration::from_millis(25);

/// A request on its way: what was tried, and what that says of whether it
/// ran.
pub(crate) struct Execution {
    pub(crate) context: ExecutionContext,
    pub(crate) job: Job,
    pub(crate) permit: Permit,
    requirements: AttemptRequirements,
    attempts: u32,
    note_refreshes: u32,
    ran: Ran,
}

/// An attempt that runs, and its place in the pool.
pub(crate) struct RunningAttempt {
    pub(crate) attempt: Box<Attempt>,
    pub(crate) placed: PlacedAttempt,
    /// Open for as long as the attempt.
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

    /// Starts an attempt somewhere, the first one or a further one.
    pub(crate) async fn start_attempt(&mut self, at: StartAt) -> Result<RunningAttempt, Problem> {
        self.requirements.start = at;
        loop {
            self.back_off().await;
            let placed = self.find_target().await?;
            let (start, span) = start_message(&self.context, &self.job, &placed, at);
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

    /// Waits a moment before a further attempt, each for a time of its own:
    /// what failed together would else come back together.
    async fn back_off(&self) {
        if self.attempts > 0 {
            let back_off = RETRY_BACKOFF * self.attempts;
            sleep(back_off.mul_f64(rand::random_range(0.0..1.0))).await;
        }
    }

    /// Says whether the request may be tried again after `failure` at a
    /// target, or what its caller is told.
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

    /// The target crashed while the request ran there. Tried again by what was
    /// known before, a request that crashes targets would take down one more
    /// before the quarantine is heard of.
    async fn handle_crash(&mut self) -> Result<(), Problem> {
        self.context.placement.record_crash(self.job.fingerprint);
        // Without an answer, the entry's own record of the crash counts.
        let _ =
            tokio::time::timeout(self.context.timing.start, self.context.follower.refresh()).await;
        let quarantine = self.context.follower.quarantine();
        self.context.placement.set_quarantine(&quarantine);
        match self
            .context
            .placement
            .quarantine_status(&self.job.fingerprint)
        {
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

    /// Part of the answer has come: the request ran, whatever follows.
    pub(crate) fn mark_as_run(&mut self) {
        self.ran = Ran::Yes;
    }

    /// The note in force differs between here and the agent: the older side
    /// refreshes, and the request is tried again.
    pub(crate) async fn refresh_note(&mut self) -> Result<(), Problem> {
        self.note_refreshes += 1;
        let left = self.job.deadline.saturating_duration_since(Instant::now());
        if self.note_refreshes > MAX_NOTE_REFRESHES || left.is_zero() {
            return Err(self.failure_problem(Failure::NotRun));
        }
        let timeout = self.context.timing.renew.min(left);
        // A refresh without an answer is made up for by the next renewal.
        let _ = tokio::time::timeout(timeout, self.context.follower.refresh()).await;
        sleep(PLACEMENT_RETRY_INTERVAL * self.note_refreshes).await;
        Ok(())
    }

    /// A target with room, as soon as there is one.
    #[tracing::instrument(name = "choice", skip_all, fields(request = %self.job.id))]
    pub(crate) async fn find_target(&mut self) -> Result<PlacedAttempt, Problem> {
        let queue_deadline = Instant::now() + self.context.timing.queue_wait;
        let until = queue_deadline.min(self.job.deadline);
        loop {
            if let Some(placed) = self.context.placement.place(&self.job, &self.requirements) {
                return Ok(placed);
            }
            if !self.requirements.avoid.is_empty() {
                // Better the same target again than none at all.
                self.requirements.avoid.clear();
                continue;
            }
            if Instant::now() >= until {
                return Err(self.no_capacity_problem());
            }
            sleep(PLACEMENT_RETRY_INTERVAL).await;
        }
    }

    /// What the caller is told when the request is given up.
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

/// The refusal of a request that has crashed targets.
pub(crate) fn convicted_problem() -> Problem {
    let detail = "this request crashed targets; an operator can pardon it";
    Problem::new(StatusCode::UNPROCESSABLE_ENTITY, detail)
}

/// The less certain of what two attempts say.
fn combine_ran(a: Ran, b: Ran) -> Ran {
    match (a, b) {
        (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
        (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
        (Ran::No, Ran::No) => Ran::No,
    }
}
