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
use super::attempt::{Attempt, Joined, Started};
use super::cx::Cx;
use super::execution::Course;
use super::failure::Failure;
use super::open::start_of;
use super::records::{Records, Stood};
use super::told::{UNREACHABLE, stands, still_open};
use super::whole::collect;
use crate::job::Job;
use crate::placement::{Permit, Placed, StartAt};

/// Time beyond its deadline for which a running call is followed, so that its
/// outcome is recorded even if its caller no longer waits.
const AFTERCARE: Duration = Duration::from_secs(30);
/// Between two looks at whether another entry has recorded the outcome.
const LOOK: Duration = Duration::from_millis(250);
/// Before the first look while an attempt is followed; each further one waits
/// twice as long. Mostly the answer comes first; where a caller sent its call
/// through two entries at once, one of them gets no frames and must not keep
/// it waiting.
const FIRST_LOOK: Duration = Duration::from_millis(20);
/// Between two looks while an attempt is followed, at most.
const MOST_LOOK: Duration = Duration::from_secs(1);
/// Claims for one call before it is given up.
const MAX_CLAIMS: u32 = 16;

/// A call that may not be repeated.
pub(crate) struct OnceJob {
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
pub(crate) async fn run_once(cx: Cx, once: OnceJob, permit: Permit) -> Result<Answer, Problem> {
    let deadline = once.job.deadline;
    let tracker = cx.tracker.clone();
    let records = Records::new(&cx, &once);
    let once = Once {
        course: Course::new(cx, once.job, permit),
        records,
    };
    let (tx, rx) = oneshot::channel();
    tracker.spawn(async move {
        // The caller may have gone; the record stands either way.
        let _ = tx.send(once.run().await);
    });
    let left = deadline.saturating_duration_since(Instant::now());
    match timeout(left, rx).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) | Err(_) => Err(still_open(StatusCode::GATEWAY_TIMEOUT, LATE)),
    }
}

/// Answers a call that is refused before anything was sent.
pub(crate) async fn refuse_once(
    cx: &Cx,
    once: &OnceJob,
    problem: Problem,
) -> Result<Answer, Problem> {
    Records::new(cx, once).refuse(problem).await
}

const LATE: &str = "the deadline passed before the outcome was recorded; ask again with the key";

struct Once {
    course: Course,
    records: Records,
}

/// What is to be done next with a call.
enum Step {
    /// Its caller is answered.
    Answer(Result<Answer, Problem>),
    /// The key is free again: claim it anew.
    Again,
}

impl Once {
    async fn run(mut self) -> Result<Answer, Problem> {
        for _ in 0..MAX_CLAIMS {
            if Instant::now() >= self.course.job.deadline {
                break;
            }
            match self.claim().await {
                Ok(Step::Answer(answer)) => return answer,
                Ok(Step::Again) => {}
                Err(problem) => return Err(problem),
            }
        }
        Err(still_open(StatusCode::GATEWAY_TIMEOUT, LATE))
    }

    /// Claims the key for an attempt and takes it from there.
    async fn claim(&mut self) -> Result<Step, Problem> {
        let placed = match self.course.find_place().await {
            Ok(placed) => placed,
            Err(problem) => return Ok(Step::Answer(self.records.refuse(problem).await)),
        };
        let cx = &self.course.cx;
        let (mut start, _span) = start_of(cx, &self.course.job, &placed, StartAt::Beginning);
        start.keep = true;
        let attempt = start.attempt.clone();
        let agent = placed.agent();
        // The start goes out on no later connection than this. An entry that
        // is stopped after its claim finds it closed when it goes on, and so
        // can't start an attempt that was barred so long ago that its agent
        // no longer remembers the bar.
        let link = agent.current_link();
        let record = self.records.claim(&attempt, &agent.name, agent.incarnation);
        let record = record.await?;
        let ours = record.attempt == attempt;
        match record.kind() {
            Kind::Claimed => self.start(placed, link, start).await,
            Kind::Running if ours => self.start(placed, link, start).await,
            Kind::Running => {
                drop(placed);
                self.join(record).await
            }
            Kind::Unknown if !record.attempt.is_empty() => {
                drop(placed);
                self.join_late(record).await
            }
            _ => Ok(Step::Answer(stands(record))),
        }
    }

    /// Starts the attempt that the claim is for.
    async fn start(
        &mut self,
        placed: Placed,
        link: Option<Link>,
        start: wire::proto::Start,
    ) -> Result<Step, Problem> {
        let id = start.attempt.clone();
        let agent = placed.agent().clone();
        let cx = &self.course.cx;
        let started = Attempt::start_on(&agent, link, start, cx.limits.window, &cx.timing).await;
        match started {
            Started::Running(attempt) => {
                let first = || placed.answered();
                let step = self.follow(attempt, &id, first).await;
                placed.end(AttemptResult::Completed);
                step
            }
            Started::Refused(Refusal::Note) => {
                placed.end(AttemptResult::Cancelled);
                self.records.release(&id).await?;
                self.course.refresh().await?;
                Ok(Step::Again)
            }
            Started::Refused(refusal) => {
                let full = refusal == Refusal::Full;
                placed.end(if full {
                    AttemptResult::Full
                } else {
                    AttemptResult::Cancelled
                });
                self.released(&id, &agent.name).await
            }
            Started::NotRun => {
                placed.end(AttemptResult::Failed);
                self.released(&id, &agent.name).await
            }
            Started::Lost => {
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
    async fn released(&mut self, id: &Bytes, target: &str) -> Result<Step, Problem> {
        self.records.release(id).await?;
        match self.course.retry(target, Failure::NotRun).await {
            Ok(()) => Ok(Step::Again),
            Err(problem) => Ok(Step::Answer(Err(problem))),
        }
    }

    /// Another attempt holds the key, started by another entry or before a
    /// connection was lost: finds out at its agent what became of it.
    async fn join(&mut self, record: ClaimOutcome) -> Result<Step, Problem> {
        let cx = self.course.cx.clone();
        let until = Instant::now() + cx.timing.start;
        loop {
            let Some(agent) = cx.placement.agent(&record.target) else {
                return self.wait_for_record().await;
            };
            let id = record.attempt.clone();
            let joined = Attempt::join(&agent, id, cx.limits.window, &cx.timing).await;
            let state = match joined {
                Joined::Attached(attempt) => {
                    return self.follow(attempt, &record.attempt, || ()).await;
                }
                Joined::Unreachable => return self.wait_for_record().await,
                Joined::State(state) => state,
            };
            // Its entry may be about to start it; only when it had the time
            // to, the attempt is barred.
            let early = state == AttemptState::Absent && Instant::now() < until;
            let same = agent.incarnation == record.incarnation;
            if early && same {
                if let Some(step) = self.look().await {
                    return Ok(step);
                }
                continue;
            }
            return self.bar(&agent, &record).await;
        }
    }

    /// Nothing was heard of the attempt in time. Its agent may have stood still
    /// and be at work on it now: then its answer is still worth having. If the
    /// agent can't be reached at once, the caller isn't kept waiting.
    async fn join_late(&mut self, record: ClaimOutcome) -> Result<Step, Problem> {
        let cx = &self.course.cx;
        let agent = cx.placement.agent(&record.target);
        let agent = agent.filter(|agent| agent.incarnation == record.incarnation);
        let Some(agent) = agent.filter(|agent| agent.is_up()) else {
            return Ok(Step::Answer(stands(record)));
        };
        let id = record.attempt.clone();
        match Attempt::join(&agent, id, cx.limits.window, &cx.timing).await {
            Joined::Attached(attempt) => self.follow(attempt, &record.attempt, || ()).await,
            Joined::State(_) | Joined::Unreachable => Ok(Step::Answer(stands(record))),
        }
    }

    /// Bars an attempt that has not started, and frees its key.
    ///
    /// The reply tells the incarnation that lives now, after the claim was
    /// committed. If it is another one than the claim's, that one is over, and
    /// nobody will ever learn what became of the attempt.
    async fn bar(
        &mut self,
        agent: &crate::links::Agent,
        record: &ClaimOutcome,
    ) -> Result<Step, Problem> {
        let cx = self.course.cx.clone();
        let Some(link) = agent.reach(cx.timing.link_grace).await else {
            return self.wait_for_record().await;
        };
        let Some(reply) = super::attempt::bar(&link, &record.attempt, &cx.timing).await else {
            return self.wait_for_record().await;
        };
        if reply.incarnation != record.incarnation {
            return self
                .unknown(&record.attempt, "the target was restarted")
                .await;
        }
        match reply.state() {
            AttemptState::Barred => {
                self.records.release(&record.attempt).await?;
                Ok(Step::Again)
            }
            AttemptState::Forgotten => {
                if let Some(step) = self.look().await {
                    return Ok(step);
                }
                let reason = "the target no longer keeps the answer";
                self.unknown(&record.attempt, reason).await
            }
            // It started in between.
            _ => Ok(Step::Again),
        }
    }

    /// Follows a running attempt to its end and records its outcome, unless
    /// another entry does so first.
    async fn follow(
        &mut self,
        mut attempt: Box<Attempt>,
        id: &Bytes,
        first: impl Fn(),
    ) -> Result<Step, Problem> {
        let deadline = self.course.job.deadline + AFTERCARE;
        let max = self.course.cx.limits.answer;
        let agent = attempt.agent().clone();
        let collected = {
            let collecting = collect(&mut attempt, None, max, deadline, first);
            let mut collecting = std::pin::pin!(collecting);
            let mut pause = FIRST_LOOK;
            loop {
                tokio::select! {
                    collected = collecting.as_mut() => break collected,
                    () = tokio::time::sleep(pause) => {}
                }
                pause = (pause * 2).min(MOST_LOOK);
                // The frames go to whoever attached last, which may be
                // another entry with the same call.
                if let Some(step) = self.look_for_answer().await {
                    return Ok(step);
                }
            }
        };
        match collected {
            Ok((answer, used)) => {
                self.course.permit.set_used(used);
                // Until it is recorded the agent must keep it: nobody else
                // could tell what came of the call.
                let answer = self.records.finish(id, answer).await?;
                attempt.forget().await;
                Ok(Step::Answer(answer))
            }
            Err(Failure::NotRun) => {
                let target = agent.name.clone();
                self.released(id, &target).await
            }
            Err(failure @ (Failure::Crashed | Failure::TooLarge)) => {
                if failure == Failure::Crashed {
                    let fingerprint = self.course.job.fingerprint;
                    self.course.cx.placement.crashed(fingerprint);
                }
                self.unknown(id, failure.detail()).await
            }
            Err(failure) if attempt.is_over() || agent.gone.is_cancelled() => {
                self.unknown(id, failure.detail()).await
            }
            // It may still run: the record leads back to it.
            Err(_) => {
                tokio::time::sleep(LOOK).await;
                Ok(Step::Again)
            }
        }
    }

    /// Records for good that nobody can learn what became of the attempt.
    async fn unknown(&mut self, id: &Bytes, reason: &str) -> Result<Step, Problem> {
        let answer = self.records.unknown(id, reason).await;
        Ok(Step::Answer(answer))
    }

    /// The agent can't be asked: waits for another entry to record an outcome
    /// while there is time.
    async fn wait_for_record(&mut self) -> Result<Step, Problem> {
        let grace = Instant::now() + self.course.cx.timing.link_grace;
        let until = grace.min(self.course.job.deadline);
        while Instant::now() < until {
            if let Some(step) = self.look().await {
                return Ok(step);
            }
            tokio::time::sleep(LOOK).await;
        }
        let problem = still_open(StatusCode::SERVICE_UNAVAILABLE, UNREACHABLE);
        Ok(Step::Answer(Err(problem)))
    }

    /// Looks whether an outcome is recorded.
    async fn look(&self) -> Option<Step> {
        step_of(self.records.look().await)
    }

    /// Looks whether the answer of the attempt that is followed is recorded.
    /// "Unknown" is none: the attempt that is followed may yet tell.
    async fn look_for_answer(&self) -> Option<Step> {
        match self.records.look().await {
            Stood::Over(record) if record.kind() == Kind::Unknown => None,
            stood => step_of(stood),
        }
    }
}

fn step_of(stood: Stood) -> Option<Step> {
    match stood {
        Stood::Over(record) => Some(Step::Answer(stands(record))),
        Stood::Free => Some(Step::Again),
        Stood::Open | Stood::Unsure => None,
    }
}
