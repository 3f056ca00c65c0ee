//! One attempt at one agent, and its answer as it comes.

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
use crate::links::{Agent, Listener};

/// Bytes after which an agent hears that they have arrived: the smallest
/// window that an agent may have. With more, such an agent would wait for ever.
const ACKNOWLEDGE: u64 = 1 << 10;
/// Without a frame of a kept attempt before it is attached again.
const ATTACH_AGAIN: Duration = Duration::from_secs(3);

/// What happens to the attempt when nobody waits for its answer any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Abandon {
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
    listener: Listener,
    frames: mpsc::UnboundedReceiver<Body>,
    link: watch::Receiver<Option<Link>>,
    assembly: AnswerAssembler,
    pieces: VecDeque<AnswerPart>,
    acknowledged: u64,
    abandon: Abandon,
    over: bool,
    grace: Duration,
    stall: Duration,
}

/// How the start of an attempt went.
#[derive(Debug)]
pub(crate) enum Started {
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
pub(crate) enum Joined {
    /// Its answer comes.
    Attached(Box<Attempt>),
    /// It can't be attached to.
    State(AttemptState),
    /// Its agent can't be reached now.
    Unreachable,
}

/// What comes next of an answer.
#[derive(Debug)]
pub(crate) enum Next {
    /// A part of it.
    Piece(AnswerPart),
    /// The agent's incarnation is over, or it can't be reached any more.
    Lost,
    /// No byte came for too long.
    Stalled,
    /// The deadline has passed.
    Late,
}

/// What happens when nothing comes, and after how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Due {
    /// The deadline passes.
    Late(Duration),
    /// The agent has been silent for too long.
    Stalled(Duration),
    /// A kept attempt is attached again. Its frames go to the entry that
    /// attached last; if that one dies, nobody would get them.
    Attach,
}

impl Due {
    fn after(self) -> Duration {
        match self {
            Due::Late(after) | Due::Stalled(after) => after,
            Due::Attach => ATTACH_AGAIN,
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
    ) -> Started {
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
    ) -> Started {
        let abandon = if start.keep {
            Abandon::Keep
        } else {
            Abandon::Cancel
        };
        let mut attempt = Attempt::new(agent, start.attempt.clone(), window, timing, abandon);
        let Some(link) = link else {
            attempt.over = true;
            return Started::NotRun;
        };
        match link.call(Body::Start(start), timing.start).await {
            Ok(Body::StartReply(reply)) if reply.accepted => Started::Running(Box::new(attempt)),
            Ok(Body::StartReply(reply)) => {
                attempt.over = true;
                Started::Refused(reply.refusal())
            }
            Err(err) if err.is_not_sent() => {
                attempt.over = true;
                Started::NotRun
            }
            Ok(_) | Err(_) => attempt.settle(timing).await,
        }
    }

    /// Attaches to an attempt that was started before, maybe by another entry.
    pub(crate) async fn join(
        agent: &Arc<Agent>,
        id: Bytes,
        window: usize,
        timing: &Timing,
    ) -> Joined {
        let mut attempt = Attempt::new(agent, id, window, timing, Abandon::Keep);
        let Some(link) = agent.reach(timing.link_grace).await else {
            return Joined::Unreachable;
        };
        attempt.link.mark_unchanged();
        match attempt.attach(&link).await {
            Some(AttemptState::Running | AttemptState::Ended) => {
                Joined::Attached(Box::new(attempt))
            }
            Some(state) => Joined::State(state),
            None => Joined::Unreachable,
        }
    }

    fn new(
        agent: &Arc<Agent>,
        id: Bytes,
        window: usize,
        timing: &Timing,
        abandon: Abandon,
    ) -> Self {
        let mut link = agent.link();
        link.mark_unchanged();
        let (listener, frames) = agent.enlist(id.clone());
        Attempt {
            listener,
            frames,
            assembly: AnswerAssembler::new(id.clone(), window),
            agent: Arc::clone(agent),
            id,
            link,
            pieces: VecDeque::new(),
            acknowledged: 0,
            abandon,
            over: false,
            grace: timing.link_grace,
            stall: timing.stall,
        }
    }

    /// The answer to a start was lost. The agent is asked to bar the attempt:
    /// either it does, and then it never runs, or the attempt is running.
    async fn settle(mut self, timing: &Timing) -> Started {
        let Some(link) = self.agent.reach(timing.link_grace).await else {
            return Started::Lost;
        };
        self.link.mark_unchanged();
        let reply = bar(&link, &self.id, timing).await;
        match reply.map(|reply| reply.state()) {
            Some(AttemptState::Barred) => {
                self.over = true;
                Started::NotRun
            }
            Some(AttemptState::Running | AttemptState::Ended) => match self.attach(&link).await {
                Some(AttemptState::Running | AttemptState::Ended) => {
                    Started::Running(Box::new(self))
                }
                _ => Started::Lost,
            },
            _ => Started::Lost,
        }
    }

    /// The next part of the answer.
    pub(crate) async fn next(&mut self, deadline: Instant) -> Next {
        loop {
            if let Some(piece) = self.pieces.pop_front() {
                self.over |= matches!(piece, AnswerPart::Complete(_) | AnswerPart::Failed(_));
                if matches!(piece, AnswerPart::Complete(_)) && self.abandon == Abandon::Cancel {
                    // Nobody will ask for it again, and what an agent holds it
                    // looks through at each tick.
                    self.forget().await;
                }
                return Next::Piece(piece);
            }
            if let Ok(frame) = self.frames.try_recv() {
                self.pieces.extend(self.assembly.push(frame));
                continue;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            let due = self.due(left);
            tokio::select! {
                frame = self.frames.recv() => match frame {
                    Some(frame) => self.pieces.extend(self.assembly.push(frame)),
                    None => return Next::Lost,
                },
                changed = self.link.changed() => {
                    if changed.is_err() || !self.attach_anew(deadline).await {
                        return Next::Lost;
                    }
                }
                () = self.agent.gone.cancelled() => return Next::Lost,
                // One timer: each costs a turn at the lock that all of them share.
                () = sleep(due.after()) => match due {
                    Due::Late(_) => return Next::Late,
                    Due::Stalled(_) => return Next::Stalled,
                    Due::Attach if self.attach_anew(deadline).await => {}
                    Due::Attach => return Next::Lost,
                }
            }
        }
    }

    /// What happens first when nothing comes.
    fn due(&self, left: Duration) -> Due {
        if self.abandon == Abandon::Keep && ATTACH_AGAIN < left.min(self.stall) {
            Due::Attach
        } else if left <= self.stall {
            Due::Late(left)
        } else {
            Due::Stalled(self.stall)
        }
    }

    pub(crate) fn agent(&self) -> &Arc<Agent> {
        &self.agent
    }

    /// Whether the answer's last part has come.
    pub(crate) fn is_over(&self) -> bool {
        self.over
    }

    /// Tells the agent that what was received so far need not be kept.
    pub(crate) async fn acknowledge(&mut self) {
        let offset = self.assembly.offset();
        // Some bytes at a time keep the answer flowing without a message for
        // each event.
        let due = offset.saturating_sub(self.acknowledged) >= ACKNOWLEDGE;
        if !due {
            return;
        }
        let Some(link) = self.agent.current_link() else {
            return;
        };
        self.acknowledged = offset;
        // A lost one is made up for by the offset of the next attach.
        let _ = link.send(self.progress(offset, Recorded::No)).await;
    }

    /// Tells the agent that the whole answer is recorded.
    pub(crate) async fn forget(&mut self) {
        self.over = true;
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
    async fn attach_anew(&mut self, deadline: Instant) -> bool {
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let grace = self.grace.min(left);
            let Some(link) = self.agent.reach(grace).await else {
                // Past the deadline the caller hears of that.
                return left < self.grace;
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
        match link.call(body, self.grace).await {
            Ok(Body::AttachReply(reply)) => Some(reply.state()),
            Ok(_) | Err(_) => None,
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.agent.dismiss(&self.id, self.listener);
        if self.over || self.abandon == Abandon::Keep {
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
