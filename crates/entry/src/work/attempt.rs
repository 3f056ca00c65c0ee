//! One attempt at one agent, and its answer as it comes.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use wire::proto::frame::Body;
use wire::proto::{Attach, AttemptState, Bar, BarReply, Cancel, Progress, Refusal, Start};
use wire::{Assembly, Link, Piece};

use crate::Timing;
use crate::links::{Agent, SubscriptionId};

/// Bytes after which an agent hears that they have arrived: the smallest
/// window that an agent may have. With more, such an agent would wait for ever.
const ACKNOWLEDGE_BYTES: u64 = 1 << 10;
/// Without a frame of a kept attempt before it is attached again.
const REATTACH_INTERVAL: Duration = Duration::from_secs(3);

/// What happens to the attempt when nobody waits for its answer any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AbandonPolicy {
    /// It is cancelled: nobody needs it.
    Cancel,
    /// It goes on: it may not be run a second time.
    Keep,
}

/// An attempt that its agent has taken.
#[derive(Debug)]
pub(crate) struct Attempt {
    agent: Arc<Agent>,
    id: Bytes,
    subscription: SubscriptionId,
    frames: mpsc::UnboundedReceiver<Body>,
    link: watch::Receiver<Option<Link>>,
    assembly: Assembly,
    pieces: VecDeque<Piece>,
    acknowledged_offset: u64,
    abandon_policy: AbandonPolicy,
    ended: bool,
    link_grace: Duration,
    stall: Duration,
}

/// How the start of an attempt went.
#[derive(Debug)]
pub(crate) enum StartOutcome {
    /// It runs, or has run already.
    Running(Box<Attempt>),
    /// The agent refused it; it never ran and never will.
    Refused(Refusal),
    /// Nothing reached the agent, or the agent has barred it: it never ran
    /// and never will.
    NotRun,
    /// Nobody can say whether it ran.
    Lost,
}

/// How joining an attempt went.
#[derive(Debug)]
pub(crate) enum JoinOutcome {
    /// Its answer comes.
    Attached(Box<Attempt>),
    /// It can't be attached to.
    State(AttemptState),
    /// Its agent can't be reached now.
    Unreachable,
}

/// What comes next of an answer.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// A part of it.
    Piece(Piece),
    /// The agent's incarnation is over, or it can't be reached any more.
    Lost,
    /// No byte came for too long.
    Stalled,
    /// The deadline has passed.
    DeadlinePassed,
}

/// What happens when nothing comes, and after how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Timeout {
    /// The deadline passes.
    DeadlinePassed(Duration),
    /// The agent has been silent for too long.
    Stalled(Duration),
    /// A kept attempt is attached again. Its frames go to the entry that
    /// attached last; if that one dies, nobody would get them.
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
    /// Asks the agent to run an attempt, and learns whether it will.
    pub(crate) async fn start(
        agent: &Arc<Agent>,
        start: Start,
        window: usize,
        timing: &Timing,
    ) -> StartOutcome {
        let link = agent.current_link();
        Attempt::start_on(agent, link, start, window, timing).await
    }

    /// The same on one connection only.
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

    /// Attaches to an attempt that was started before, maybe by another entry.
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
            assembly: Assembly::new(id.clone(), window),
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

    /// The answer to a start was lost. The agent is asked to bar the attempt:
    /// either it does, and then it never runs, or the attempt is running.
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

    /// The next part of the answer.
    pub(crate) async fn next(&mut self, deadline: Instant) -> AttemptEvent {
        loop {
            if let Some(piece) = self.pieces.pop_front() {
                self.ended |= matches!(piece, Piece::Whole(_) | Piece::Broken(_));
                if matches!(piece, Piece::Whole(_)) && self.abandon_policy == AbandonPolicy::Cancel
                {
                    // Nobody will ask for it again, and what an agent holds it
                    // looks through at each tick.
                    self.confirm_recorded().await;
                }
                return AttemptEvent::Piece(piece);
            }
            if let Ok(frame) = self.frames.try_recv() {
                self.pieces.extend(self.assembly.take(frame));
                continue;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            let timeout = self.next_timeout(left);
            tokio::select! {
                frame = self.frames.recv() => match frame {
                    Some(frame) => self.pieces.extend(self.assembly.take(frame)),
                    None => return AttemptEvent::Lost,
                },
                changed = self.link.changed() => {
                    if changed.is_err() || !self.reattach(deadline).await {
                        return AttemptEvent::Lost;
                    }
                }
                () = self.agent.ended.cancelled() => return AttemptEvent::Lost,
                // One timer: each costs a turn at the lock that all of them share.
                () = sleep(timeout.after()) => match timeout {
                    Timeout::DeadlinePassed(_) => return AttemptEvent::DeadlinePassed,
                    Timeout::Stalled(_) => return AttemptEvent::Stalled,
                    Timeout::Reattach if self.reattach(deadline).await => {}
                    Timeout::Reattach => return AttemptEvent::Lost,
                }
            }
        }
    }

    /// What happens first when nothing comes.
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

    /// Whether the answer's last part has come.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended
    }

    /// Tells the agent that what was received so far need not be kept.
    pub(crate) async fn acknowledge(&mut self) {
        let offset = self.assembly.offset();
        // Some bytes at a time keep the answer flowing without a message for
        // each event.
        let is_due = offset.saturating_sub(self.acknowledged_offset) >= ACKNOWLEDGE_BYTES;
        if !is_due {
            return;
        }
        let Some(link) = self.agent.current_link() else {
            return;
        };
        self.acknowledged_offset = offset;
        // A lost one is made up for by the offset of the next attach.
        let _ = link.send(self.progress(offset, Recorded::No)).await;
    }

    /// Tells the agent that the whole answer is recorded.
    pub(crate) async fn confirm_recorded(&mut self) {
        self.ended = true;
        if let Some(link) = self.agent.current_link() {
            let offset = self.assembly.offset();
            // If it is lost, the agent forgets the answer after its own time.
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

    /// The connection went or a fresh one came: goes on there, from the byte
    /// that comes next. `false` once the attempt is lost.
    async fn reattach(&mut self, deadline: Instant) -> bool {
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let link_grace = self.link_grace.min(left);
            let Some(link) = self.agent.wait_for_link(link_grace).await else {
                // Past the deadline the caller hears of that.
                return left < self.link_grace;
            };
            self.link.mark_unchanged();
            match self.attach(&link).await {
                Some(AttemptState::Running | AttemptState::Ended) => return true,
                // It went down again: there may be a further one.
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
            // The agent cancels it by itself after its grace time.
            return;
        };
        let cancel = Body::Cancel(Cancel {
            attempt: self.id.clone(),
        });
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                // Without a connection the agent cancels by itself.
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

/// Bars an attempt and says what the agent then knows of it.
pub(super) async fn bar(link: &Link, id: &Bytes, timing: &Timing) -> Option<BarReply> {
    let body = Body::Bar(Bar {
        attempt: id.clone(),
    });
    match link.call(body, timing.start).await {
        Ok(Body::BarReply(reply)) => Some(reply),
        Ok(_) | Err(_) => None,
    }
}
