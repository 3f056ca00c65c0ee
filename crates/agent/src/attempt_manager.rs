//! The actor that admits and tracks attempts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ledger::Attempt;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use wire::Link;
use wire::proto::{Attach, AttemptState, End, Progress, Start};

use crate::attempts::Attempts;
use crate::context::Context;
use crate::crash::{CrashTracker, ProbeResult};
use crate::prompt_parts::report_sound;
use crate::run::RunOutcome;
use crate::start_handler::{self, AttachOutcome, StartOutcome};
use crate::{Ending, Retention};

/// Interval of [`AttemptMsg::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A tick that comes this late means that the process was suspended.
const STALL_THRESHOLD: Duration = Duration::from_secs(2);

/// Admits and tracks attempts, one message at a time.
pub(crate) struct AttemptManager;

/// Messages to [`AttemptManager`].
pub(crate) enum AttemptMsg {
    Start(Box<Start>, Origin, RpcReplyPort<StartOutcome>),
    Attach(Attach, Link, RpcReplyPort<AttachOutcome>),
    Bar(Attempt, RpcReplyPort<AttemptState>),
    Cancel(Attempt),
    Progress(Progress),
    /// The run of an attempt has ended.
    RunEnded(Attempt, RunOutcome),
    /// The crash check has finished.
    CrashChecked(ProbeResult),
    /// The crash that ended these attempts was reported to control, or the report
    /// timed out.
    CrashReported(Vec<Attempt>),
    Tick,
    /// Asks whether no attempt runs and no answer is held.
    Idle(RpcReplyPort<Idle>),
}

/// The link on which a start message arrived.
pub(crate) struct Origin {
    pub link: Link,
    /// Cancelled when the link must be re-established.
    pub link_cancel: CancellationToken,
}

/// Whether no attempt runs and no answer is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Idle {
    Yes,
    No,
}

/// State of [`AttemptManager`].
pub(crate) struct State {
    pub cx: Arc<Context>,
    pub attempts: Attempts,
    pub crash_tracker: CrashTracker,
    pub myself: ActorRef<AttemptMsg>,
    last_tick: Instant,
    ticker: JoinHandle<()>,
}

impl Actor for AttemptManager {
    type Msg = AttemptMsg;
    type State = State;
    type Arguments = Arc<Context>;

    async fn pre_start(
        &self,
        myself: ActorRef<AttemptMsg>,
        cx: Arc<Context>,
    ) -> Result<State, ActorProcessingErr> {
        Ok(State {
            attempts: Attempts::new(&cx.cfg.limits, &cx.cfg.timing),
            crash_tracker: CrashTracker::default(),
            last_tick: Instant::now(),
            ticker: myself.send_interval(TICK_INTERVAL, || AttemptMsg::Tick),
            myself,
            cx,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<AttemptMsg>,
        msg: AttemptMsg,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(msg, Instant::now());
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<AttemptMsg>,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.ticker.abort();
        Ok(())
    }
}

impl State {
    /// Send errors are ignored: a requester that is gone needs no reply.
    fn handle(&mut self, msg: AttemptMsg, now: Instant) {
        match msg {
            AttemptMsg::Start(start, origin, reply) => {
                let _ = reply.send(start_handler::start(self, *start, &origin, now));
            }
            AttemptMsg::Attach(attach, link, reply) => {
                let _ = reply.send(start_handler::attach(self, &attach, &link));
            }
            AttemptMsg::Bar(attempt, reply) => {
                let _ = reply.send(self.attempts.bar(attempt, now));
            }
            AttemptMsg::Cancel(attempt) => self.attempts.cancel(attempt),
            AttemptMsg::Progress(progress) => self.progress(&progress, now),
            AttemptMsg::RunEnded(attempt, RunOutcome::Ended(ending)) => {
                self.end(attempt, ending, now);
            }
            AttemptMsg::RunEnded(attempt, RunOutcome::ConnectionLost(reason)) => {
                if self.attempts.mark_connection_lost(attempt, reason) {
                    CrashTracker::start_check(self, now);
                }
            }
            AttemptMsg::CrashChecked(result) => CrashTracker::conclude(self, result, now),
            AttemptMsg::CrashReported(attempts) => self.attempts.end_crashed(&attempts, now),
            AttemptMsg::Tick => self.tick(now),
            AttemptMsg::Idle(reply) => {
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
        self.attempts.acknowledge(attempt, progress.offset);
        if progress.done {
            self.attempts.release(attempt, now);
        }
    }

    pub fn end(&mut self, attempt: Attempt, ending: Ending, now: Instant) {
        log::debug!(
            "attempt={attempt} ended as {}: {}",
            ending.name(),
            ending.reason
        );
        let ended = ending.clone();
        if self.attempts.end(attempt, ending, now) {
            self.cx.metrics.ended(&ended);
            if ended.end == End::Whole {
                self.clear_parts(attempt, now);
            }
        }
    }

    /// Tells control of the parts that a completed attempt shows to be sound.
    fn clear_parts(&mut self, attempt: Attempt, now: Instant) {
        let Some(tracked) = self.attempts.get(attempt) else {
            return;
        };
        let quarantine = self.cx.follower.quarantine();
        let parts = &mut self.crash_tracker.parts;
        let cleared = parts.clear(tracked, &quarantine, now);
        if !cleared.is_empty() {
            let cx = Arc::clone(&self.cx);
            tokio::spawn(async move { report_sound(&cx, cleared).await });
        }
    }

    /// Ends all attempts whose connection broke.
    pub fn end_broken(&mut self, now: Instant) {
        for ending in self.attempts.end_broken(now) {
            self.cx.metrics.ended(&ending);
        }
    }

    /// Whether the process was suspended until just now, for example by
    /// `SIGSTOP`. Messages that it reads then may be hours old, and a start among
    /// them may have been abandoned and run elsewhere.
    ///
    /// A tick may be handled before the messages that were read from a link.
    /// Therefore a stall also closes all open links, and a start from such a link
    /// is stale too.
    pub fn is_stale(&self, origin: &Origin, now: Instant) -> bool {
        origin.link_cancel.is_cancelled() || self.has_stalled(now)
    }

    fn has_stalled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick) >= STALL_THRESHOLD
    }

    fn tick(&mut self, now: Instant) {
        if self.has_stalled(now) {
            log::warn!("agent stalled; closing all links so that peers reconnect");
            self.cx.metrics.stalled();
            self.cx.link_cancel.send_modify(|link_cancel| {
                link_cancel.cancel();
                *link_cancel = self.cx.stop.child_token();
            });
        }
        self.last_tick = now;
        self.attempts.tick(&self.cx.cfg.timing, now);
        let metrics = &self.cx.metrics;
        metrics.running.set(signed(self.attempts.running()));
        metrics.held_bytes.set(signed(self.attempts.held_bytes()));
        metrics.remembered.set(signed(self.attempts.tombstones()));
    }
}

fn signed(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// How long the answer of an attempt is kept.
pub(crate) fn retention(start: &Start) -> Retention {
    if start.keep {
        Retention::UntilRecorded
    } else {
        Retention::UntilAcknowledged
    }
}
