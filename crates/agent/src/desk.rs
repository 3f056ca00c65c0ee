//! The actor that decides on attempts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ledger::Attempt;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use wire::Link;
use wire::proto::{Attach, AttemptState, Progress, Start};

use crate::attempts::Attempts;
use crate::context::Context;
use crate::crash::{Incident, Verdict};
use crate::run::Stopped;
use crate::take::{self, Taken};
use crate::{Ending, Keep};

/// Between two looks at the clock.
const TICK: Duration = Duration::from_millis(100);

/// An agent that didn't look at the clock for so long stood still.
const STALL: Duration = Duration::from_secs(2);

/// Decides on attempts, one message at a time.
pub(crate) struct Desk;

/// What the desk is told and asked.
pub(crate) enum DeskMsg {
    Start(Box<Start>, Origin, RpcReplyPort<Taken>),
    Attach(Attach, Link, RpcReplyPort<take::Attached>),
    Bar(Attempt, RpcReplyPort<AttemptState>),
    Cancel(Attempt),
    Progress(Progress),
    /// The run of an attempt came to its end.
    Stopped(Attempt, Stopped),
    /// Whether the target crashed is known now.
    Examined(Verdict),
    /// Control knows of the crash that ended these attempts, or can't be told.
    Reported(Vec<Attempt>),
    Tick,
    /// Whether anything runs or is held.
    Idle(RpcReplyPort<Idle>),
}

/// The link that a start came on.
pub(crate) struct Origin {
    pub link: Link,
    /// Ends when the link is to be made anew.
    pub cut: CancellationToken,
}

/// Whether anything runs or is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Idle {
    Yes,
    No,
}

/// What the desk keeps.
pub(crate) struct State {
    pub cx: Arc<Context>,
    pub attempts: Attempts,
    pub incident: Incident,
    pub myself: ActorRef<DeskMsg>,
    ticked: Instant,
    clock: JoinHandle<()>,
}

impl Actor for Desk {
    type Msg = DeskMsg;
    type State = State;
    type Arguments = Arc<Context>;

    async fn pre_start(
        &self,
        myself: ActorRef<DeskMsg>,
        cx: Arc<Context>,
    ) -> Result<State, ActorProcessingErr> {
        Ok(State {
            attempts: Attempts::new(&cx.cfg.limits, &cx.cfg.timing),
            incident: Incident::default(),
            ticked: Instant::now(),
            clock: myself.send_interval(TICK, || DeskMsg::Tick),
            myself,
            cx,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<DeskMsg>,
        msg: DeskMsg,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(msg, Instant::now());
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<DeskMsg>,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.clock.abort();
        Ok(())
    }
}

impl State {
    /// Whoever asked may have gone meanwhile: then nobody needs the reply.
    fn handle(&mut self, msg: DeskMsg, now: Instant) {
        match msg {
            DeskMsg::Start(start, from, reply) => {
                let _ = reply.send(take::start(self, *start, &from, now));
            }
            DeskMsg::Attach(attach, link, reply) => {
                let _ = reply.send(take::attach(self, &attach, &link));
            }
            DeskMsg::Bar(attempt, reply) => {
                let _ = reply.send(self.attempts.bar(attempt, now));
            }
            DeskMsg::Cancel(attempt) => self.attempts.cancel(attempt),
            DeskMsg::Progress(progress) => self.progress(&progress, now),
            DeskMsg::Stopped(attempt, Stopped::Ended(ending)) => {
                self.end(attempt, ending, now);
            }
            DeskMsg::Stopped(attempt, Stopped::Broke(reason)) => {
                if self.attempts.broke(attempt, reason) {
                    Incident::look(self, now);
                }
            }
            DeskMsg::Examined(verdict) => Incident::conclude(self, verdict, now),
            DeskMsg::Reported(attempts) => self.attempts.end_crashed(&attempts, now),
            DeskMsg::Tick => self.tick(now),
            DeskMsg::Idle(reply) => {
                let idle = if self.attempts.is_empty() {
                    Idle::Yes
                } else {
                    Idle::No
                };
                let _ = reply.send(idle);
            }
        }
    }

    fn progress(&mut self, progress: &Progress, now: Instant) {
        let Some(attempt) = Attempt::from_slice(&progress.attempt) else {
            return;
        };
        self.attempts.pass(attempt, progress.offset);
        if progress.done {
            self.attempts.acknowledge(attempt, now);
        }
    }

    pub fn end(&mut self, attempt: Attempt, ending: Ending, now: Instant) {
        log::debug!(
            "attempt={attempt} ended as {}: {}",
            ending.name(),
            ending.reason
        );
        let name = ending.clone();
        if self.attempts.end(attempt, ending, now) {
            self.cx.metrics.ended(&name);
        }
    }

    /// Ends all attempts whose connection broke.
    pub fn end_broken(&mut self, now: Instant) {
        for ending in self.attempts.end_broken(now) {
            self.cx.metrics.ended(&ending);
        }
    }

    /// Whether the agent stood still until just now, as a process that was
    /// stopped and continued does. What it reads then may be hours old: a
    /// start among it may long have been given up and run elsewhere.
    ///
    /// The desk may look at the clock again before it gets to what was read
    /// from a link; so the links that were up are made anew, and a start from
    /// one of them doesn't count either.
    pub fn is_stale(&self, from: &Origin, now: Instant) -> bool {
        from.cut.is_cancelled() || self.has_stalled(now)
    }

    fn has_stalled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.ticked) >= STALL
    }

    fn tick(&mut self, now: Instant) {
        if self.has_stalled(now) {
            log::warn!("the agent stood still; all links are made anew");
            self.cx.metrics.stalled();
            self.cx.cut.send_modify(|cut| {
                cut.cancel();
                *cut = self.cx.stop.child_token();
            });
        }
        self.ticked = now;
        self.attempts.tick(&self.cx.cfg.timing, now);
        let metrics = &self.cx.metrics;
        metrics.running.set(signed(self.attempts.running()));
        metrics.held_bytes.set(signed(self.attempts.held()));
        metrics.remembered.set(signed(self.attempts.remembered()));
    }
}

fn signed(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Whether an answer is kept whole.
pub(crate) fn keep(start: &Start) -> Keep {
    if start.keep {
        Keep::Whole
    } else {
        Keep::UntilPassed
    }
}
