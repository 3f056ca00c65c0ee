//! A request on its way from attempt to attempt.

use std::sync::Arc;
use std::time::{Duration, Instant};

use admin::{Problem, Ran};
use hyper::StatusCode;
use route::AttemptResult;
use tokio::time::sleep;
use tracing::Span;
use wire::proto::Refusal;

use super::attempt::{Attempt, Started};
use super::cx::Cx;
use super::failure::Failure;
use super::open::start_of;
use crate::job::Job;
use crate::placement::{Permit, Placed, Record, StartAt, Wanted};

/// Pause before looking again for a target with room.
const LOOK_AGAIN: Duration = Duration::from_millis(10);
/// Refreshes of the release note for one request.
const MAX_REFRESHES: u32 = 12;
/// When to come back after a fault that usually passes in moments.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest pause before each further attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// A request on its way: what was tried, and what that says of whether it
/// ran.
pub(crate) struct Course {
    pub(crate) cx: Cx,
    pub(crate) job: Job,
    pub(crate) permit: Permit,
    wanted: Wanted,
    attempts: u32,
    refreshes: u32,
    ran: Ran,
}

/// An attempt that runs, and its place in the pool.
pub(crate) struct Live {
    pub(crate) attempt: Box<Attempt>,
    pub(crate) placed: Placed,
    /// Open for as long as the attempt.
    _span: Span,
}

impl Course {
    pub(crate) fn new(cx: Cx, job: Job, permit: Permit) -> Self {
        Course {
            cx,
            job,
            permit,
            wanted: Wanted::default(),
            attempts: 0,
            refreshes: 0,
            ran: Ran::No,
        }
    }

    /// Starts an attempt somewhere, the first one or a further one.
    pub(crate) async fn begin(&mut self, at: StartAt) -> Result<Live, Problem> {
        self.wanted.start = at;
        loop {
            self.pause().await;
            let placed = self.find_place().await?;
            let (start, span) = start_of(&self.cx, &self.job, &placed, at);
            let agent = Arc::clone(placed.agent());
            self.attempts += 1;
            let window = self.cx.limits.window;
            let started = Attempt::start(&agent, start, window, &self.cx.timing).await;
            let failure = match started {
                Started::Running(attempt) => {
                    let (id, target) = (self.job.id.as_str(), agent.name.as_str());
                    log::debug!(request = id, target = target; "attempt taken");
                    return Ok(Live {
                        attempt,
                        placed,
                        _span: span,
                    });
                }
                Started::Refused(Refusal::Note) => {
                    placed.end(AttemptResult::Cancelled);
                    self.attempts -= 1;
                    self.refresh().await?;
                    continue;
                }
                Started::Refused(refusal) => {
                    let full = refusal == Refusal::Full;
                    placed.end(if full {
                        AttemptResult::Full
                    } else {
                        AttemptResult::Cancelled
                    });
                    Failure::NotRun
                }
                Started::NotRun => {
                    placed.end(AttemptResult::Failed);
                    Failure::NotRun
                }
                Started::Lost => {
                    placed.end(AttemptResult::Failed);
                    Failure::Lost
                }
            };
            self.retry(&agent.name, failure).await?;
        }
    }

    /// Waits a moment before a further attempt, each for a time of its own:
    /// what failed together would else come back together.
    async fn pause(&self) {
        if self.attempts > 0 {
            let pause = RETRY_PAUSE * self.attempts;
            sleep(pause.mul_f64(rand::random_range(0.0..1.0))).await;
        }
    }

    /// Says whether the request may be tried again after `failure` at a
    /// target, or what its caller is told.
    pub(crate) async fn retry(&mut self, target: &str, failure: Failure) -> Result<(), Problem> {
        self.ran = worse(self.ran, failure.ran());
        self.wanted.avoid.push(target.to_owned());
        let (id, detail) = (self.job.id.as_str(), failure.detail());
        log::info!(request = id, target = target; "attempt failed: {detail}");
        if failure == Failure::Crashed {
            self.heed_crash().await?;
        }
        let late = Instant::now() >= self.job.deadline;
        let may = failure.is_passing() && !late && self.attempts < self.cx.limits.attempts;
        if may && self.cx.placement.withdraw_retry() {
            self.cx.metrics.retries.inc();
            return Ok(());
        }
        Err(self.given_up(if late { Failure::Late } else { failure }))
    }

    /// The target crashed while the request ran there. Tried again by what was
    /// known before, a request that crashes targets would take down one more
    /// before the quarantine is heard of.
    async fn heed_crash(&mut self) -> Result<(), Problem> {
        self.cx.placement.crashed(self.job.fingerprint);
        // Without an answer, the entry's own record of the crash counts.
        let _ = tokio::time::timeout(self.cx.timing.start, self.cx.follower.refresh()).await;
        let quarantine = self.cx.follower.quarantine();
        self.cx.placement.set_quarantine(&quarantine);
        match self.cx.placement.record(&self.job.fingerprint) {
            Record::Runs(suspicion) => {
                self.job.suspicion = suspicion;
                Ok(())
            }
            Record::Convicted => {
                let mut problem = convicted();
                problem.ran = self.ran;
                Err(problem)
            }
        }
    }

    /// Part of the answer has come: the request ran, whatever follows.
    pub(crate) fn has_run(&mut self) {
        self.ran = Ran::Yes;
    }

    /// The note in force differs between here and the agent: the older side
    /// refreshes, and the request is tried again.
    pub(crate) async fn refresh(&mut self) -> Result<(), Problem> {
        self.refreshes += 1;
        let left = self.job.deadline.saturating_duration_since(Instant::now());
        if self.refreshes > MAX_REFRESHES || left.is_zero() {
            return Err(self.given_up(Failure::NotRun));
        }
        let within = self.cx.timing.renew.min(left);
        // A refresh without an answer is made up for by the next renewal.
        let _ = tokio::time::timeout(within, self.cx.follower.refresh()).await;
        sleep(LOOK_AGAIN * self.refreshes).await;
        Ok(())
    }

    /// A target with room, as soon as there is one.
    #[tracing::instrument(name = "choice", skip_all, fields(request = %self.job.id))]
    pub(crate) async fn find_place(&mut self) -> Result<Placed, Problem> {
        let patience = Instant::now() + self.cx.timing.queue_wait;
        let until = patience.min(self.job.deadline);
        loop {
            if let Some(placed) = self.cx.placement.place(&self.job, &self.wanted) {
                return Ok(placed);
            }
            if !self.wanted.avoid.is_empty() {
                // Better the same target again than none at all.
                self.wanted.avoid.clear();
                continue;
            }
            if Instant::now() >= until {
                return Err(self.no_room());
            }
            sleep(LOOK_AGAIN).await;
        }
    }

    /// What the caller is told when the request is given up.
    fn given_up(&self, failure: Failure) -> Problem {
        let status = match failure {
            Failure::Late => StatusCode::GATEWAY_TIMEOUT,
            Failure::TooLarge => StatusCode::BAD_GATEWAY,
            _ if self.ran == Ran::No => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_GATEWAY,
        };
        let mut problem = Problem::new(status, failure.detail());
        problem.ran = self.ran;
        problem.retry_after = Some(RETRY_AFTER);
        problem
    }

    fn no_room(&self) -> Problem {
        let detail = format!("no target of {:?} has room", self.job.pool.as_str());
        let mut problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, detail);
        problem.ran = self.ran;
        problem.retry_after = Some(RETRY_AFTER);
        problem
    }
}

/// The refusal of a request that has crashed targets.
pub(crate) fn convicted() -> Problem {
    let detail = "this request crashed targets; an operator can pardon it";
    Problem::new(StatusCode::UNPROCESSABLE_ENTITY, detail)
}

/// The less certain of what two attempts say.
fn worse(a: Ran, b: Ran) -> Ran {
    match (a, b) {
        (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
        (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
        (Ran::No, Ran::No) => Ran::No,
    }
}
