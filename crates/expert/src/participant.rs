//! Participant in the map switches of a group.

use crate::goal::{Goal, SwitchAttempt};
use crate::{
    CoordinatorMessage, EngineState, GroupState, ParticipantMessage, ParticipantOutput,
    SwitchTiming, Verdict,
};
use std::time::Instant;

/// Takes one engine through the map switches of its group.
///
/// Commands are sent to the engine one at a time, and their effect is read back
/// before the coordinator gets a reply: an answer may be lost, and an engine
/// that ignores fencing numbers executes whatever arrives. The engine is
/// reachable through its agent only, so that a request refused here never
/// reaches it.
#[derive(Clone, Debug)]
pub struct Participant {
    pub(crate) timing: SwitchTiming,
    /// Highest fencing number seen.
    pub(crate) fencing: u64,
    /// Highest version that is known to be decided and completed here.
    pub(crate) resolved_version: u64,
    pub(crate) goal: Goal,
    /// State of the engine as last read; `None` if a command was sent since.
    pub(crate) engine: Option<EngineState>,
    /// Whether the coordinator has been sent the reply for the current goal.
    pub(crate) has_replied: bool,
    /// When the command in flight is considered lost; `None` if there is none.
    pub(crate) command_deadline: Option<Instant>,
    /// Whether the last command was a read.
    pub(crate) last_command_is_read: bool,
    /// Until when the engine may still execute a command considered lost.
    pub(crate) late_command_until: Option<Instant>,
    /// When the group state is to be read, if at all.
    pub(crate) group_read_at: Option<Instant>,
    /// Earliest time of the next read of the engine.
    pub(crate) engine_read_at: Instant,
    /// Formation of the engine when a new fencing number was requested.
    pub(crate) join_formation: Option<u64>,
    /// When the request is repeated.
    pub(crate) reopen_at: Instant,
    /// Whether the last command other than a read got no answer.
    pub(crate) last_command_unanswered: bool,
    /// Formation of the engine when it was asked for a promise, or when the
    /// state before a restart of the agent was recovered.
    pub(crate) promise_formation: Option<u64>,
}

impl Participant {
    /// A participant without any knowledge: it reads the engine and the durable
    /// state before it sends another command.
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
            resolved_version: 0,
            goal: Goal::Recover,
            engine: None,
            has_replied: false,
            command_deadline: None,
            last_command_is_read: false,
            // A command sent before a restart of the agent may still be in
            // flight.
            late_command_until: Some(now + timing.late_command_window),
            group_read_at: None,
            engine_read_at: now,
            join_formation: None,
            reopen_at: now,
            last_command_unanswered: false,
            promise_formation: None,
        }
    }

    /// Highest fencing number seen.
    #[must_use]
    pub fn fencing(&self) -> u64 {
        self.fencing
    }

    /// The state of the engine as last read; `None` if a command was sent since.
    #[must_use]
    pub fn engine(&self) -> Option<EngineState> {
        self.engine
    }

    /// Handles a message from the coordinator `from`.
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
                if let Some(refusal) = self.check_fencing(from, fencing) {
                    return vec![refusal];
                }
                let attempt = SwitchAttempt {
                    coordinator: Some(from.to_owned()),
                    fencing,
                    version,
                    map,
                };
                self.on_stage(attempt, now);
            }
            CoordinatorMessage::Hold {
                fencing,
                version,
                barrier_step,
                formation,
            } => {
                if let Some(refusal) = self.check_fencing(from, fencing) {
                    return vec![refusal];
                }
                if !self.on_hold(from, version, barrier_step, formation) {
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
                // The first message of a new coordinator is the abort of a
                // pending switch. If its fencing number were ignored here, the
                // engine would be released under the previous number, and
                // messages of the superseded coordinator would be accepted.
                self.fencing = self.fencing.max(fencing);
                if version <= self.resolved_version {
                    return vec![send(from, ParticipantMessage::Applied { version })];
                }
                self.on_outcome(from, version, barrier_step, verdict, now);
            }
        }
        self.tick(now)
    }

    /// The refusal to a superseded coordinator, if `fencing` is outdated. Such a
    /// coordinator may be unaware of the next one, and its commands would undo
    /// those of the next one on an engine that ignores fencing numbers.
    fn check_fencing(&mut self, from: &str, fencing: u64) -> Option<ParticipantOutput> {
        if fencing < self.fencing {
            let fencing = self.fencing;
            return Some(send(from, ParticipantMessage::Fenced { fencing }));
        }
        self.fencing = fencing;
        None
    }

    fn on_stage(&mut self, attempt: SwitchAttempt, now: Instant) {
        match &mut self.goal {
            // A repeated request: the reply was lost or isn't due yet.
            Goal::Stage { attempt: known } if known.version == attempt.version => {
                known.coordinator = attempt.coordinator;
                self.has_replied = false;
            }
            // The previous attempt isn't binding without a promise.
            Goal::Idle | Goal::Stage { .. } if attempt.version > self.resolved_version => {
                self.goal = Goal::Stage { attempt };
                self.has_replied = false;
            }
            // The promise for the previous version is binding until its
            // outcome is known. The coordinator of the next version must know
            // it, so it is in the durable state.
            Goal::Hold { .. } | Goal::Recover => self.request_group_read(now),
            Goal::Idle | Goal::Join { .. } | Goal::Stage { .. } | Goal::ApplyOutcome { .. } => {}
        }
    }

    /// Handles a hold; returns whether it is accepted.
    fn on_hold(
        &mut self,
        from: &str,
        version: u64,
        barrier_step: u64,
        expected_formation: u64,
    ) -> bool {
        match &mut self.goal {
            Goal::Stage { attempt } if attempt.version == version => {
                let attempt = attempt.clone();
                self.goal = Goal::Hold {
                    attempt,
                    barrier_step,
                    formation: Some(expected_formation),
                };
            }
            Goal::Hold {
                attempt,
                barrier_step: held,
                formation,
            } if attempt.version == version && *held == barrier_step => {
                *formation = Some(expected_formation);
                attempt.coordinator = Some(from.to_owned());
            }
            _ => return false,
        }
        self.has_replied = false;
        true
    }

    fn on_outcome(
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
                self.apply_outcome(attempt, barrier_step, verdict);
            }
            // A command sent before a restart of this agent may have reached
            // the engine after it was read, so it is read again.
            Goal::Idle => {
                self.goal = Goal::Recover;
                self.engine = None;
            }
            Goal::Join { .. } | Goal::ApplyOutcome { .. } => {}
            // A message was missed: the durable state holds the decision.
            Goal::Recover | Goal::Stage { .. } | Goal::Hold { .. } => self.request_group_read(now),
        }
    }

    pub(crate) fn apply_outcome(
        &mut self,
        attempt: SwitchAttempt,
        barrier_step: u64,
        verdict: Verdict,
    ) {
        self.has_replied = false;
        // Until the barrier there is nothing to learn from the durable state, and the
        // reads of a large group would delay the decisions of others.
        self.group_read_at = None;
        self.goal = Goal::ApplyOutcome {
            attempt,
            barrier_step,
            verdict,
        };
    }

    pub(crate) fn request_group_read(&mut self, now: Instant) {
        self.group_read_at = Some(self.group_read_at.unwrap_or(now));
    }

    /// Handles the result of [`ParticipantOutput::OpenFencing`] for
    /// `formation`: the state of the group under the new fencing number.
    pub fn on_opened(
        &mut self,
        formation: u64,
        group_state: &GroupState,
        now: Instant,
    ) -> Vec<ParticipantOutput> {
        self.fencing = self.fencing.max(group_state.fencing);
        if let Goal::Join {
            group_state: known @ None,
        } = &mut self.goal
            && self.join_formation == Some(formation)
        {
            *known = Some(group_state.clone());
        }
        self.tick(now)
    }

    /// Handles the result of [`ParticipantOutput::ReadGroupState`]; the default
    /// if the durable state holds nothing for the group.
    pub fn on_group_state(
        &mut self,
        group_state: &GroupState,
        now: Instant,
    ) -> Vec<ParticipantOutput> {
        self.fencing = self.fencing.max(group_state.fencing);
        let latest = group_state.current.as_ref().map_or(0, |last| last.version);
        match &self.goal {
            Goal::Recover => self.recover(group_state, latest),
            Goal::Join { .. } | Goal::ApplyOutcome { .. } => {}
            goal => match goal.undecided_version() {
                Some(version) if version <= latest => self.on_decided(version, group_state),
                Some(_) => {}
                None => self.catch_up(group_state, latest),
            },
        }
        if self.goal.undecided_version().is_none() && self.goal != Goal::Recover {
            self.group_read_at = None;
        }
        self.tick(now)
    }

    /// Handles the result of [`ParticipantOutput::Command`]: the state of the
    /// engine after the command, or `None` if the answer was lost or the
    /// command refused.
    pub fn on_engine_state(
        &mut self,
        state: Option<EngineState>,
        now: Instant,
    ) -> Vec<ParticipantOutput> {
        if self.command_deadline.take().is_none() {
            // The command was already considered lost.
            return Vec::new();
        }
        self.engine = state;
        match state {
            None => self.on_command_lost(now),
            Some(_) if !self.last_command_is_read => self.last_command_unanswered = false,
            Some(_) => {}
        }
        self.tick(now)
    }

    /// Handles the loss of a command or of its answer. The command may still be
    /// in flight and be executed after one sent now, whose effect it would
    /// replace. So only reads are sent until it can no longer arrive.
    fn on_command_lost(&mut self, now: Instant) {
        self.engine = None;
        self.engine_read_at = now + self.timing.resend_interval;
        if self.last_command_is_read {
            return;
        }
        self.last_command_unanswered = true;
        self.late_command_until = Some(now + self.timing.late_command_window);
        // The engine may have refused it because of a higher fencing number,
        // which the durable state holds.
        self.request_group_read(now);
    }

    /// Performs the actions that are due. To be called periodically.
    pub fn tick(&mut self, now: Instant) -> Vec<ParticipantOutput> {
        let mut outputs = Vec::new();
        if self.command_deadline.is_some_and(|until| now >= until) {
            self.command_deadline = None;
            self.on_command_lost(now);
        }
        if self.late_command_until.is_some_and(|until| now >= until) {
            self.late_command_until = None;
        }
        if self.command_deadline.is_none() {
            self.advance(now, &mut outputs);
        }
        if self.group_read_at.is_some_and(|at| now >= at) {
            self.group_read_at = Some(now + self.timing.group_read_delay);
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
