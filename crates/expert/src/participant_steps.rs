//! Steps of a participant towards its goal.

use crate::goal::{Goal, SwitchAttempt};
use crate::participant::send;
use crate::{
    EngineCommand, EngineState, GroupState, Participant, ParticipantMessage, ParticipantOutput,
    Verdict,
};
use std::time::Instant;

impl Participant {
    /// Sends the next command to the engine or, if none is needed, the reply to
    /// the coordinator.
    pub(crate) fn advance(&mut self, now: Instant, outputs: &mut Vec<ParticipantOutput>) {
        let Some(engine) = self.engine else {
            let may_read = self.late_command_until.is_none() || self.goal != Goal::Recover;
            if may_read && now >= self.engine_read_at {
                self.send_command(EngineCommand::Read, now, outputs);
            }
            return;
        };
        self.detect_restart(engine);
        let next = match self.goal.clone() {
            Goal::Join { group_state } => self.advance_join(group_state, engine, now, outputs),
            Goal::Recover => {
                self.request_group_read(now);
                None
            }
            Goal::Idle => None,
            Goal::Stage { attempt } => self.advance_stage(&attempt, engine, outputs),
            Goal::Hold {
                attempt,
                barrier_step,
                formation,
            } => self.advance_hold(&attempt, barrier_step, formation, engine, now, outputs),
            Goal::ApplyOutcome {
                attempt,
                barrier_step,
                verdict,
            } => self.advance_outcome(&attempt, barrier_step, verdict, engine, now, outputs),
        };
        if let Some(command) = next
            && self.late_command_until.is_none()
        {
            self.send_command(command, now, outputs);
        } else if self.engine.is_some() && now >= self.engine_read_at + self.timing.resend_interval
        {
            // The engine may restart at any time.
            self.send_command(EngineCommand::Read, now, outputs);
        }
    }

    /// Whether the engine has entered another formation since its promise and
    /// has thereby returned to its initial map.
    fn has_reset(&self, engine: EngineState) -> bool {
        engine.arming.is_some() && engine.formation != self.promise_formation
    }

    /// Whether the engine may still execute an unanswered command without its
    /// state showing it.
    fn may_run_late_command(&self, engine: EngineState) -> bool {
        engine.arming.is_some() && self.last_command_unanswered
    }

    fn send_command(
        &mut self,
        command: EngineCommand,
        now: Instant,
        outputs: &mut Vec<ParticipantOutput>,
    ) {
        self.engine = None;
        self.last_command_is_read = command == EngineCommand::Read;
        self.command_deadline = Some(now + self.timing.command_timeout);
        self.engine_read_at = now;
        outputs.push(ParticipantOutput::Command(command));
    }

    /// Detects that the engine has restarted since it was last read and has lost
    /// its maps and promises.
    fn detect_restart(&mut self, engine: EngineState) {
        if engine.awaiting_join && !matches!(self.goal, Goal::Join { .. }) {
            self.goal = Goal::Join { group_state: None };
        }
        // A command sent before the restart may have reached the engine after
        // it. The engine would then keep a promise unknown to this participant.
        if !engine.awaiting_join && engine.held_step.is_some() && self.goal == Goal::Idle {
            self.goal = Goal::Recover;
        }
    }

    /// Brings a restarted engine onto the maps of the other engines.
    ///
    /// A coordinator may rely on a promise that the engine gave before its
    /// restart, and commit a switch at any time. So a new fencing number is
    /// opened first: from then on that commit is refused, or is already part of
    /// the group state that is returned. All later switches need the promises
    /// of the engines in the current formation, which include this one.
    fn advance_join(
        &mut self,
        group_state: Option<GroupState>,
        engine: EngineState,
        now: Instant,
        outputs: &mut Vec<ParticipantOutput>,
    ) -> Option<EngineCommand> {
        if !engine.awaiting_join {
            self.on_joined(group_state);
            return None;
        }
        // A switch may be decided without an engine outside a formation.
        let formation = engine.formation?;
        if let Some(group_state) = group_state.filter(|_| self.join_formation == Some(formation)) {
            let maps = group_state.committed.into_iter().rev().collect();
            return Some(EngineCommand::Join {
                fencing: self.fencing.max(group_state.fencing),
                formation,
                maps,
            });
        }
        if self.join_formation != Some(formation) || now >= self.reopen_at {
            self.join_formation = Some(formation);
            self.goal = Goal::Join { group_state: None };
            self.reopen_at = now + self.timing.resend_interval;
            outputs.push(ParticipantOutput::OpenFencing { formation });
        }
        None
    }

    /// Handles that the engine runs steps on the maps in force.
    fn on_joined(&mut self, group_state: Option<GroupState>) {
        self.join_formation = None;
        let Some(group_state) = group_state else {
            self.goal = Goal::Recover;
            return;
        };
        let latest = group_state.current.as_ref().map_or(0, |last| last.version);
        self.resolved_version = self.resolved_version.max(latest);
        self.goal = Goal::Idle;
        if let Some(newest) = group_state.committed.first() {
            // It may come into use only at a later step.
            self.apply_commit(newest);
        }
    }

    fn advance_stage(
        &mut self,
        attempt: &SwitchAttempt,
        engine: EngineState,
        outputs: &mut Vec<ParticipantOutput>,
    ) -> Option<EngineCommand> {
        let version = attempt.version;
        if !engine.requires_join {
            // After a restart it would run steps on its initial map while the
            // others run on the switched one.
            self.reply(attempt, ParticipantMessage::Refused { version }, outputs);
            return None;
        }
        if engine.loading == Some(version) {
            return None;
        }
        if engine.staged != Some(version) {
            return Some(stage_command(attempt));
        }
        let message = ParticipantMessage::Staged {
            version,
            step: engine.step,
        };
        self.reply(attempt, message, outputs);
        None
    }

    fn advance_hold(
        &mut self,
        attempt: &SwitchAttempt,
        barrier_step: u64,
        formation: Option<u64>,
        engine: EngineState,
        now: Instant,
        outputs: &mut Vec<ParticipantOutput>,
    ) -> Option<EngineCommand> {
        // From now on the switch may be decided at any time, and the message
        // with the outcome may be lost, so the group state is read.
        self.group_read_at = Some(
            self.group_read_at
                .unwrap_or(now + self.timing.group_read_delay),
        );
        let version = attempt.version;
        if formation.is_some_and(|expected| engine.formation != Some(expected)) {
            // Engines unknown to the coordinator take part in the steps.
            self.reply(attempt, ParticipantMessage::Refused { version }, outputs);
            return None;
        }
        if engine.has_promised(version, barrier_step) {
            self.reply(attempt, ParticipantMessage::Held { version }, outputs);
            return None;
        }
        if engine.step >= barrier_step || engine.staged != Some(version) {
            self.reply(attempt, ParticipantMessage::Refused { version }, outputs);
            return None;
        }
        self.promise_formation = engine.formation;
        Some(EngineCommand::Hold {
            fencing: attempt.fencing,
            version,
            barrier_step,
        })
    }

    fn advance_outcome(
        &mut self,
        attempt: &SwitchAttempt,
        barrier_step: u64,
        verdict: Verdict,
        engine: EngineState,
        now: Instant,
        outputs: &mut Vec<ParticipantOutput>,
    ) -> Option<EngineCommand> {
        let version = attempt.version;
        let done = match verdict {
            Verdict::Commit => engine.version >= version || self.has_reset(engine),
            // The engine may still execute an unanswered command until it has
            // answered a later one.
            Verdict::Abort => engine.has_dropped(version) && !self.may_run_late_command(engine),
        };
        if done {
            self.reply(attempt, ParticipantMessage::Applied { version }, outputs);
            self.resolved_version = self.resolved_version.max(version);
            self.goal = Goal::Idle;
            self.group_read_at = None;
            return None;
        }
        if verdict == Verdict::Commit && engine.next == Some(version) {
            // An engine holds only one map that is to come into use. If the
            // next switch began now, its outcome would replace this map before
            // the barrier, and only this rank would skip the map.
            self.engine = None;
            self.engine_read_at = now + self.timing.resend_interval;
            return None;
        }
        // A decision is valid under any later fencing number too. Under its own
        // number it would be refused by an agent or engine that has seen a
        // higher one, and the rank would wait forever.
        let attempt = SwitchAttempt {
            fencing: self.fencing.max(attempt.fencing),
            ..attempt.clone()
        };
        if verdict == Verdict::Commit && engine.loading == Some(version) {
            return None;
        }
        let is_present = [engine.staged, engine.loading].contains(&Some(version));
        if !is_present && engine.arming.is_none() {
            return Some(stage_command(&attempt));
        }
        Some(EngineCommand::Outcome {
            fencing: attempt.fencing,
            version,
            barrier_step,
            verdict,
        })
    }

    /// Replies to the coordinator once; it repeats the request if the reply is
    /// lost.
    fn reply(
        &mut self,
        attempt: &SwitchAttempt,
        message: ParticipantMessage,
        outputs: &mut Vec<ParticipantOutput>,
    ) {
        if let Some(to) = attempt.coordinator.as_deref().filter(|_| !self.has_replied) {
            outputs.push(send(to, message));
        }
        self.has_replied = true;
    }
}

fn stage_command(attempt: &SwitchAttempt) -> EngineCommand {
    EngineCommand::Stage {
        fencing: attempt.fencing,
        version: attempt.version,
        map: attempt.map.clone(),
    }
}
