//! An attempt at an agent and its answer.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use wire::proto::frame::Body;
use wire::proto::{Attach, AttemptState, Bar, BarReply, Cancel, Progress, Refusal, Start};
use wire::{AnswerAssembler, AnswerPart, Link};

use crate::Timing;
use crate::links::{Agent, SubscriptionId};

/// Number of received bytes after which they are acknowledged: the minimum window size
/// of an agent. With a larger value, an agent with the minimum window would wait
/// forever.
const ACKNOWLEDGE_BYTES: u64 = 1 << 10;
/// Time without a frame after which the entry reattaches to a kept attempt.
const REATTACH_INTERVAL: Duration = Duration::from_secs(3);

/// What happens to an attempt when its receiver is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AbandonPolicy {
    /// The attempt is cancelled, as its answer is no longer needed.
    Cancel,
    /// The attempt continues, as it must not run a second time.
    Keep,
}

/// An attempt that its agent has accepted.
#[derive(Debug)]
pub(crate) struct Attempt {
    agent: Arc<Agent>,
    id: Bytes,
    subscription: SubscriptionId,
    frames: mpsc::UnboundedReceiver<Body>,
    link: watch::Receiver<Option<Link>>,
    assembly: AnswerAssembler,
    pieces: VecDeque<AnswerPart>,
    acknowledged_offset: u64,
    abandon_policy: AbandonPolicy,
    ended: bool,
    link_grace: Duration,
    stall: Duration,
}

/// Outcome of starting an attempt.
#[derive(Debug)]
pub(crate) enum StartOutcome {
    /// It is running or has already ended.
    Running(Box<Attempt>),
    /// The agent refused it. It did not run and never will.
    Refused(Refusal),
    /// The start was not sent or the agent has barred the attempt. It did not run and
    /// never will.
    NotRun,
    /// It is unknown whether it ran.
    Lost,
}

/// Outcome of joining an attempt.
#[derive(Debug)]
pub(crate) enum JoinOutcome {
    /// Its answer is being received.
    Attached(Box<Attempt>),
    /// It cannot be attached to because of its state.
    State(AttemptState),
    /// Its agent is unreachable.
    Unreachable,
}

/// The next event of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// A part of the answer.
    Piece(AnswerPart),
    /// The incarnation of the agent has ended, or the agent is unreachable.
    Lost,
    /// No byte arrived within the stall timeout.
    Stalled,
    /// The deadline has passed.
    DeadlinePassed,
}

/// What happens if no frame arrives within a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Timeout {
    /// The deadline passes.
    DeadlinePassed(Duration),
    /// The agent has stalled.
    Stalled(Duration),
    /// The entry reattaches to a kept attempt. Frames are sent to the entry that
    /// attached last; if that entry crashes, no other one would receive them.
    Reattach,
}

impl Timeout {
    fn after(self) -> Duration {
        match self {
            Timeout::DeadlinePassed(after) | Timeout::Stalled(after) => after,
            Timeout::Reattach => REATTACH_INTERVAL,
        }
    }
}

impl Attempt {
    /// Starts an attempt and waits until the agent has accepted or refused it.
    pub(crate) async fn start(
        agent: &Arc<Agent>,
        start: Start,
        window: usize,
        timing: &Timing,
    ) -> StartOutcome {
        let link = agent.current_link();
        Attempt::start_on(agent, link, start, window, timing).await
    }

    /// Starts an attempt on the given connection only.
    pub(crate) async fn start_on(
        agent: &Arc<Agent>,
        link: Option<Link>,
        start: Start,
        window: usize,
        timing: &Timing,
    ) -> StartOutcome {
        let abandon_policy = if start.keep {
            AbandonPolicy::Keep
        } else {
            AbandonPolicy::Cancel
        };
        let mut attempt =
            Attempt::new(agent, start.attempt.clone(), window, timing, abandon_policy);
        let Some(link) = link else {
            attempt.ended = true;
            return StartOutcome::NotRun;
        };
        match link.call(Body::Start(start), timing.start).await {
            Ok(Body::StartReply(reply)) if reply.accepted => {
                StartOutcome::Running(Box::new(attempt))
            }
            Ok(Body::StartReply(reply)) => {
                attempt.ended = true;
                StartOutcome::Refused(reply.refusal())
            }
            Err(err) if err.is_not_sent() => {
                attempt.ended = true;
                StartOutcome::NotRun
            }
            Ok(_) | Err(_) => attempt.resolve_unknown_start(timing).await,
        }
    }

    /// Attaches to an attempt that was started before, possibly by another entry.
    pub(crate) async fn join(
        agent: &Arc<Agent>,
        id: Bytes,
        window: usize,
        timing: &Timing,
    ) -> JoinOutcome {
        let mut attempt = Attempt::new(agent, id, window, timing, AbandonPolicy::Keep);
        let Some(link) = agent.wait_for_link(timing.link_grace).await else {
            return JoinOutcome::Unreachable;
        };
        attempt.link.mark_unchanged();
        match attempt.attach(&link).await {
            Some(AttemptState::Running | AttemptState::Ended) => {
                JoinOutcome::Attached(Box::new(attempt))
            }
            Some(state) => JoinOutcome::State(state),
            None => JoinOutcome::Unreachable,
        }
    }

    fn new(
        agent: &Arc<Agent>,
        id: Bytes,
        window: usize,
        timing: &Timing,
        abandon_policy: AbandonPolicy,
    ) -> Self {
        let mut link = agent.link();
        link.mark_unchanged();
        let (subscription, frames) = agent.subscribe(id.clone());
        Attempt {
            subscription,
            frames,
            assembly: AnswerAssembler::new(id.clone(), window),
            agent: Arc::clone(agent),
            id,
            link,
            pieces: VecDeque::new(),
            acknowledged_offset: 0,
            abandon_policy,
            ended: false,
            link_grace: timing.link_grace,
            stall: timing.stall,
        }
    }

    /// Resolves a lost start reply by asking the agent to bar the attempt. Either the
    /// agent bars it and it never runs, or it is already running and is attached to.
    async fn resolve_unknown_start(mut self, timing: &Timing) -> StartOutcome {
        let Some(link) = self.agent.wait_for_link(timing.link_grace).await else {
            return StartOutcome::Lost;
        };
        self.link.mark_unchanged();
        let reply = bar(&link, &self.id, timing).await;
        match reply.map(|reply| reply.state()) {
            Some(AttemptState::Barred) => {
                self.ended = true;
                StartOutcome::NotRun
            }
            Some(AttemptState::Running | AttemptState::Ended) => match self.attach(&link).await {
                Some(AttemptState::Running | AttemptState::Ended) => {
                    StartOutcome::Running(Box::new(self))
                }
                _ => StartOutcome::Lost,
            },
            _ => StartOutcome::Lost,
        }
    }

    /// Waits for the next part of the answer, a failure or the deadline.
    pub(crate) async fn next(&mut self, deadline: Instant) -> AttemptEvent {
        loop {
            if let Some(piece) = self.pieces.pop_front() {
                self.ended |= matches!(piece, AnswerPart::Complete(_) | AnswerPart::Failed(_));
                if matches!(piece, AnswerPart::Complete(_))
                    && self.abandon_policy == AbandonPolicy::Cancel
                {
                    // The answer is not needed again, and the agent visits all kept
                    // answers at each tick.
                    self.confirm_recorded().await;
                }
                return AttemptEvent::Piece(piece);
            }
            if let Ok(frame) = self.frames.try_recv() {
                self.pieces.extend(self.assembly.push(frame));
                continue;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            let timeout = self.next_timeout(left);
            tokio::select! {
                frame = self.frames.recv() => match frame {
                    Some(frame) => self.pieces.extend(self.assembly.push(frame)),
                    None => return AttemptEvent::Lost,
                },
                changed = self.link.changed() => {
                    if changed.is_err() || !self.reattach(deadline).await {
                        return AttemptEvent::Lost;
                    }
                }
                () = self.agent.ended.cancelled() => return AttemptEvent::Lost,
                // A single timer, because registering one locks the shared timer state.
                () = sleep(timeout.after()) => match timeout {
                    Timeout::DeadlinePassed(_) => return AttemptEvent::DeadlinePassed,
                    Timeout::Stalled(_) => return AttemptEvent::Stalled,
                    Timeout::Reattach if self.reattach(deadline).await => {}
                    Timeout::Reattach => return AttemptEvent::Lost,
                }
            }
        }
    }

    /// The timeout that expires first if no frame arrives.
    fn next_timeout(&self, left: Duration) -> Timeout {
        if self.abandon_policy == AbandonPolicy::Keep && REATTACH_INTERVAL < left.min(self.stall) {
            Timeout::Reattach
        } else if left <= self.stall {
            Timeout::DeadlinePassed(left)
        } else {
            Timeout::Stalled(self.stall)
        }
    }

    pub(crate) fn agent(&self) -> &Arc<Agent> {
        &self.agent
    }

    /// Whether the last part of the answer has been received.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended
    }

    /// Acknowledges the received bytes, which the agent need not keep any longer.
    pub(crate) async fn acknowledge(&mut self) {
        let offset = self.assembly.offset();
        // Acknowledging in batches keeps the answer flowing without a message per
        // event.
        let is_due = offset.saturating_sub(self.acknowledged_offset) >= ACKNOWLEDGE_BYTES;
        if !is_due {
            return;
        }
        let Some(link) = self.agent.current_link() else {
            return;
        };
        self.acknowledged_offset = offset;
        // A lost acknowledgement is covered by the offset of the next attach.
        let _ = link.send(self.progress(offset, Recorded::No)).await;
    }

    /// Tells the agent that the complete answer has been recorded.
    pub(crate) async fn confirm_recorded(&mut self) {
        self.ended = true;
        if let Some(link) = self.agent.current_link() {
            let offset = self.assembly.offset();
            // If the message is lost, the agent drops the answer after its retention
            // time.
            let _ = link.send(self.progress(offset, Recorded::Yes)).await;
        }
    }

    fn progress(&self, offset: u64, recorded: Recorded) -> Body {
        Body::Progress(Progress {
            attempt: self.id.clone(),
            offset,
            done: recorded == Recorded::Yes,
        })
    }

    /// Reattaches after a change of the connection, from the next missing byte on.
    /// Returns `false` if the attempt is lost.
    async fn reattach(&mut self, deadline: Instant) -> bool {
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let link_grace = self.link_grace.min(left);
            let Some(link) = self.agent.wait_for_link(link_grace).await else {
                // If the deadline passes first, `next` reports that.
                return left < self.link_grace;
            };
            self.link.mark_unchanged();
            match self.attach(&link).await {
                Some(AttemptState::Running | AttemptState::Ended) => return true,
                // The connection was lost again; wait for another one.
                None if link.is_closed() => {}
                Some(_) | None => return false,
            }
        }
    }

    async fn attach(&mut self, link: &Link) -> Option<AttemptState> {
        let body = Body::Attach(Attach {
            attempt: self.id.clone(),
            offset: self.assembly.offset(),
        });
        match link.call(body, self.link_grace).await {
            Ok(Body::AttachReply(reply)) => Some(reply.state()),
            Ok(_) | Err(_) => None,
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.agent.unsubscribe(&self.id, self.subscription);
        if self.ended || self.abandon_policy == AbandonPolicy::Keep {
            return;
        }
        let Some(link) = self.agent.current_link() else {
            // The agent cancels the attempt itself after its grace period.
            return;
        };
        let cancel = Body::Cancel(Cancel {
            attempt: self.id.clone(),
        });
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                // If sending fails, the agent cancels the attempt itself after its
                // grace period.
                let _ = link.send(cancel).await;
            });
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Recorded {
    Yes,
    No,
}

/// Bars an attempt and returns its state at the agent.
pub(super) async fn bar(link: &Link, id: &Bytes, timing: &Timing) -> Option<BarReply> {
    let body = Body::Bar(Bar {
        attempt: id.clone(),
    });
    match link.call(body, timing.start).await {
        Ok(Body::BarReply(reply)) => Some(reply),
        Ok(_) | Err(_) => None,
    }
}
