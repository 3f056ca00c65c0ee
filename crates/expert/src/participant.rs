//! Takes one engine through the map switches of its group.

use crate::goal::{Attempt, Goal};
use crate::{
    CoordinatorMessage, EngineState, GroupState, ParticipantMessage, ParticipantOutput,
    SwitchTiming, Verdict,
};
use std::time::Instant;

/// Takes one engine through the map switches of its group.
///
/// Orders to the engine are given one at a time, and what an order did is
/// read back before anything is said to the coordinator: an answer may be
/// lost, and an engine that ignores fencing numbers obeys whatever arrives.
/// The agent is the only way to its engine, so what is refused here never
/// reaches it.
#[derive(Clone, Debug)]
pub struct Participant {
    pub(crate) timing: SwitchTiming,
    /// Highest fencing number seen.
    pub(crate) fencing: u64,
    /// Highest version that is known to be decided and done with here.
    pub(crate) resolved: u64,
    pub(crate) goal: Goal,
    /// As last read; `None` if an order was given since.
    pub(crate) engine: Option<EngineState>,
    /// Whether the goal was reached with the state last read.
    pub(crate) told: bool,
    /// When the order in flight is given up.
    pub(crate) order_until: Option<Instant>,
    /// Whether it only reads.
    pub(crate) is_read: bool,
    /// Until when an order that was given up may still be obeyed.
    pub(crate) quiet_until: Option<Instant>,
    /// When the durable state is asked, if it is to be asked.
    pub(crate) ask_at: Option<Instant>,
    /// When the engine is read again.
    pub(crate) read_at: Instant,
    /// Formation of the engine when a new fencing number was asked for.
    pub(crate) join_in: Option<u64>,
    /// When it is asked for again.
    pub(crate) open_at: Instant,
    /// The last order, reads apart, got no answer.
    pub(crate) unanswered: bool,
    /// Formation of the engine when it was asked for a promise, or when a
    /// promise of a former life was found.
    pub(crate) promised_in: Option<u64>,
}

impl Participant {
    /// A participant that knows nothing yet: it reads the engine and the
    /// durable state before it gives an order.
    ///
    /// ```
    /// use expert::{EngineCommand, Participant, ParticipantOutput, SwitchTiming};
    ///
    /// let now = std::time::Instant::now();
    /// let mut participant = Participant::new(SwitchTiming::default(), now);
    /// let outputs = participant.tick(now + SwitchTiming::default().late_command_window);
    /// assert_eq!(outputs[0], ParticipantOutput::Command(EngineCommand::Read));
    /// ```
    #[must_use]
    pub fn new(timing: SwitchTiming, now: Instant) -> Participant {
        Participant {
            timing,
            fencing: 0,
            resolved: 0,
            goal: Goal::Learn,
            engine: None,
            told: false,
            order_until: None,
            is_read: false,
            // An order of a former life may still be on its way.
            quiet_until: Some(now + timing.late_command_window),
            ask_at: None,
            read_at: now,
            join_in: None,
            open_at: now,
            unanswered: false,
            promised_in: None,
        }
    }

    /// Highest fencing number seen.
    #[must_use]
    pub fn fencing(&self) -> u64 {
        self.fencing
    }

    /// The engine as last read.
    #[must_use]
    pub fn engine(&self) -> Option<EngineState> {
        self.engine
    }

    /// Takes in a message of the coordinator `from`.
    pub fn on_message(
        &mut self,
        from: &str,
        message: CoordinatorMessage,
        now: Instant,
    ) -> Vec<ParticipantOutput> {
        match message {
            CoordinatorMessage::Stage {
                fencing,
                version,
                map,
            } => {
                if let Some(refusal) = self.refuse(from, fencing) {
                    return vec![refusal];
                }
                let attempt = Attempt {
                    coordinator: Some(from.to_owned()),
                    fencing,
                    version,
                    map,
                };
                self.stage(attempt, now);
            }
            CoordinatorMessage::Hold {
                fencing,
                version,
                barrier_step,
                formation,
            } => {
                if let Some(refusal) = self.refuse(from, fencing) {
                    return vec![refusal];
                }
                if !self.hold(from, version, barrier_step, formation) {
                    let message = ParticipantMessage::Refused { version };
                    return vec![send(from, message)];
                }
            }
            CoordinatorMessage::Outcome {
                fencing,
                version,
                barrier_step,
                verdict,
            } => {
                // The next coordinator's first message is the abort of what
                // hangs. If its number weren't heeded here, the engine would
                // be let go under the former one, and what the superseded
                // coordinator still sends would pass for current.
                self.fencing = self.fencing.max(fencing);
                if version <= self.resolved {
                    return vec![send(from, ParticipantMessage::Applied { version })];
                }
                self.outcome(from, version, barrier_step, verdict, now);
            }
        }
        self.tick(now)
    }

    /// A coordinator that has been superseded still believes that it leads:
    /// its orders would undo those of the next one, at least with an engine
    /// that ignores the number.
    fn refuse(&mut self, from: &str, fencing: u64) -> Option<ParticipantOutput> {
        if fencing < self.fencing {
            let fencing = self.fencing;
            return Some(send(from, ParticipantMessage::Fenced { fencing }));
        }
        self.fencing = fencing;
        None
    }

    fn stage(&mut self, attempt: Attempt, now: Instant) {
        match &mut self.goal {
            // Asked again, as the answer was lost or isn't due yet.
            Goal::Stage { attempt: known } if known.version == attempt.version => {
                known.coordinator = attempt.coordinator;
                self.told = false;
            }
            // Without a promise the former attempt binds nobody.
            Goal::Rest | Goal::Stage { .. } if attempt.version > self.resolved => {
                self.goal = Goal::Stage { attempt };
                self.told = false;
            }
            // The promise for the former version holds until its outcome is
            // known, which the coordinator of the next one must have seen.
            Goal::Hold { .. } | Goal::Learn => self.ask(now),
            Goal::Rest | Goal::Join { .. } | Goal::Stage { .. } | Goal::Finish { .. } => {}
        }
    }

    /// Whether the hold is taken up.
    fn hold(&mut self, from: &str, version: u64, barrier_step: u64, counted: u64) -> bool {
        match &mut self.goal {
            Goal::Stage { attempt } if attempt.version == version => {
                let attempt = attempt.clone();
                self.goal = Goal::Hold {
                    attempt,
                    barrier_step,
                    formation: Some(counted),
                };
            }
            Goal::Hold {
                attempt,
                barrier_step: held,
                formation,
            } if attempt.version == version && *held == barrier_step => {
                *formation = Some(counted);
                attempt.coordinator = Some(from.to_owned());
            }
            _ => return false,
        }
        self.told = false;
        true
    }

    fn outcome(
        &mut self,
        from: &str,
        version: u64,
        barrier_step: u64,
        verdict: Verdict,
        now: Instant,
    ) {
        match &self.goal {
            Goal::Stage { attempt } | Goal::Hold { attempt, .. } if attempt.version == version => {
                let mut attempt = attempt.clone();
                attempt.coordinator = Some(from.to_owned());
                self.finish(attempt, barrier_step, verdict);
            }
            // An order of a former life of this agent may have come to the
            // engine after it was read, so it is read again.
            Goal::Rest => {
                self.goal = Goal::Learn;
                self.engine = None;
            }
            Goal::Join { .. } | Goal::Finish { .. } => {}
            // Something was missed: the durable state has all of it.
            Goal::Learn | Goal::Stage { .. } | Goal::Hold { .. } => self.ask(now),
        }
    }

    pub(crate) fn finish(&mut self, attempt: Attempt, barrier_step: u64, verdict: Verdict) {
        self.told = false;
        self.goal = Goal::Finish {
            attempt,
            barrier_step,
            verdict,
        };
    }

    pub(crate) fn ask(&mut self, now: Instant) {
        self.ask_at = Some(self.ask_at.unwrap_or(now));
    }

    /// Takes in that a new fencing number was opened for this agent, whose
    /// engine was to join in `formation`.
    pub fn on_opened(
        &mut self,
        formation: u64,
        standing: &GroupState,
        now: Instant,
    ) -> Vec<ParticipantOutput> {
        self.fencing = self.fencing.max(standing.fencing);
        if let Goal::Join {
            standing: known @ None,
        } = &mut self.goal
            && self.join_in == Some(formation)
        {
            *known = Some(standing.clone());
        }
        self.tick(now)
    }

    /// Takes in what the durable state holds for the group; the default if it
    /// holds nothing.
    pub fn on_group_state(
        &mut self,
        standing: &GroupState,
        now: Instant,
    ) -> Vec<ParticipantOutput> {
        self.fencing = self.fencing.max(standing.fencing);
        let latest = standing.current.as_ref().map_or(0, |last| last.version);
        match &self.goal {
            Goal::Learn => self.learn(standing, latest),
            Goal::Join { .. } | Goal::Finish { .. } => {}
            goal => match goal.undecided() {
                Some(version) if version <= latest => self.decided(version, standing),
                Some(_) => {}
                None => self.catch_up(standing, latest),
            },
        }
        if self.goal.undecided().is_none() && self.goal != Goal::Learn {
            self.ask_at = None;
        }
        self.tick(now)
    }

    /// Takes in the engine's answer to an order: its state after it, or
    /// `None` if the answer was lost or the order refused.
    pub fn on_engine_state(
        &mut self,
        state: Option<EngineState>,
        now: Instant,
    ) -> Vec<ParticipantOutput> {
        if self.order_until.take().is_none() {
            // The order was given up before.
            return Vec::new();
        }
        self.engine = state;
        match state {
            None => self.lost(now),
            Some(_) if !self.is_read => self.unanswered = false,
            Some(_) => {}
        }
        self.tick(now)
    }

    /// An order that was given up may still be on its way. Another one given
    /// now could overtake it, and the engine would end with what the former
    /// asked for; so only reads go out until it must have come or gone.
    fn lost(&mut self, now: Instant) {
        self.engine = None;
        self.read_at = now + self.timing.resend_interval;
        if self.is_read {
            return;
        }
        self.unanswered = true;
        self.quiet_until = Some(now + self.timing.late_command_window);
        // It may have been refused for a number that is higher than any seen
        // here; the durable state knows it.
        self.ask(now);
    }

    /// Does what is due. Called from time to time.
    pub fn tick(&mut self, now: Instant) -> Vec<ParticipantOutput> {
        let mut outputs = Vec::new();
        if self.order_until.is_some_and(|until| now >= until) {
            self.order_until = None;
            self.lost(now);
        }
        if self.quiet_until.is_some_and(|until| now >= until) {
            self.quiet_until = None;
        }
        if self.order_until.is_none() {
            self.advance(now, &mut outputs);
        }
        if self.ask_at.is_some_and(|at| now >= at) {
            self.ask_at = Some(now + self.timing.resend_interval);
            outputs.push(ParticipantOutput::ReadGroupState);
        }
        outputs
    }
}

pub(crate) fn send(to: &str, message: ParticipantMessage) -> ParticipantOutput {
    ParticipantOutput::Send {
        to: to.to_owned(),
        message,
    }
}
