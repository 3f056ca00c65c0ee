//! The orders that bring a participant to its goal.

use crate::goal::{Attempt, Goal};
use crate::participant::send;
use crate::{
    EngineCommand, EngineState, GroupState, Participant, ParticipantMessage, ParticipantOutput,
    Verdict,
};
use std::time::Instant;

impl Participant {
    /// Gives the next order, or tells the coordinator that there is none.
    pub(crate) fn advance(&mut self, now: Instant, outputs: &mut Vec<ParticipantOutput>) {
        let Some(engine) = self.engine else {
            let settled = self.quiet_until.is_none() || self.goal != Goal::Learn;
            if settled && now >= self.read_at {
                self.order(EngineCommand::Read, now, outputs);
            }
            return;
        };
        self.heed_start(engine);
        let next = match self.goal.clone() {
            Goal::Join { standing } => self.advance_join(standing, engine, now, outputs),
            Goal::Learn => {
                self.ask(now);
                None
            }
            Goal::Rest => None,
            Goal::Stage { attempt } => self.advance_stage(&attempt, engine, outputs),
            Goal::Hold {
                attempt,
                barrier_step,
                formation,
            } => self.advance_hold(&attempt, barrier_step, formation, engine, now, outputs),
            Goal::Finish {
                attempt,
                barrier_step,
                verdict,
            } => self.advance_finish(&attempt, barrier_step, verdict, engine, now, outputs),
        };
        if let Some(order) = next
            && self.quiet_until.is_none()
        {
            self.order(order, now, outputs);
        } else if self.engine.is_some() && now >= self.read_at + self.timing.resend_interval {
            // The engine may restart at any time, whatever was asked of it.
            self.order(EngineCommand::Read, now, outputs);
        }
    }

    /// Whether the engine has begun another formation since it promised, with
    /// which it went back to its start map.
    fn has_reset(&self, engine: EngineState) -> bool {
        engine.arming.is_some() && engine.formation != self.promised_in
    }

    fn unsettled(&self, engine: EngineState) -> bool {
        engine.arming.is_some() && self.unanswered
    }

    fn order(&mut self, order: EngineCommand, now: Instant, outputs: &mut Vec<ParticipantOutput>) {
        self.engine = None;
        self.is_read = order == EngineCommand::Read;
        self.order_until = Some(now + self.timing.command_timeout);
        self.read_at = now;
        outputs.push(ParticipantOutput::Command(order));
    }

    /// Notices that the engine was started since it was last read: it has
    /// lost its maps and whatever it promised.
    fn heed_start(&mut self, engine: EngineState) {
        if engine.awaiting_join && !matches!(self.goal, Goal::Join { .. }) {
            self.goal = Goal::Join { standing: None };
        }
        // An order of before may have reached the engine after its start, and
        // it would keep a promise that nobody here knows of.
        if !engine.awaiting_join && engine.held_step.is_some() && self.goal == Goal::Rest {
            self.goal = Goal::Learn;
        }
    }

    /// Brings an engine that was started onto the maps of the others.
    ///
    /// A coordinator may count on a promise that the engine gave before its
    /// start, and commit a switch at any moment. So a new fencing number is
    /// opened first: from then on that commit is refused, or stands already
    /// in what the durable state answers. Whatever comes after needs the
    /// promise of an engine in the present formation, and so this one's.
    fn advance_join(
        &mut self,
        standing: Option<GroupState>,
        engine: EngineState,
        now: Instant,
        outputs: &mut Vec<ParticipantOutput>,
    ) -> Option<EngineCommand> {
        if !engine.awaiting_join {
            self.joined(standing);
            return None;
        }
        // Before it is in a formation a switch may be decided without it.
        let formation = engine.formation?;
        if let Some(standing) = standing.filter(|_| self.join_in == Some(formation)) {
            let maps = standing.committed.into_iter().rev().collect();
            return Some(EngineCommand::Join {
                fencing: self.fencing.max(standing.fencing),
                formation,
                maps,
            });
        }
        if self.join_in != Some(formation) || now >= self.open_at {
            self.join_in = Some(formation);
            self.goal = Goal::Join { standing: None };
            self.open_at = now + self.timing.resend_interval;
            outputs.push(ParticipantOutput::OpenFencing { formation });
        }
        None
    }

    /// The engine runs steps on the maps in force.
    fn joined(&mut self, standing: Option<GroupState>) {
        self.join_in = None;
        let Some(standing) = standing else {
            self.goal = Goal::Learn;
            return;
        };
        let latest = standing.current.as_ref().map_or(0, |last| last.version);
        self.resolved = self.resolved.max(latest);
        self.goal = Goal::Rest;
        if let Some(newest) = standing.committed.first() {
            // It comes into use at a later step, perhaps.
            self.commit(newest);
        }
    }

    fn advance_stage(
        &mut self,
        attempt: &Attempt,
        engine: EngineState,
        outputs: &mut Vec<ParticipantOutput>,
    ) -> Option<EngineCommand> {
        let version = attempt.version;
        if !engine.requires_join {
            // After a restart it would join on its start map while the others
            // run on this one.
            self.tell(attempt, ParticipantMessage::Refused { version }, outputs);
            return None;
        }
        if engine.loading == Some(version) {
            return None;
        }
        if engine.staged != Some(version) {
            return Some(stage_order(attempt));
        }
        let message = ParticipantMessage::Staged {
            version,
            step: engine.step,
        };
        self.tell(attempt, message, outputs);
        None
    }

    fn advance_hold(
        &mut self,
        attempt: &Attempt,
        barrier_step: u64,
        formation: Option<u64>,
        engine: EngineState,
        now: Instant,
        outputs: &mut Vec<ParticipantOutput>,
    ) -> Option<EngineCommand> {
        // From here on the outcome may be committed at any time, and the
        // message that tells it may be lost: the durable state is asked.
        self.ask_at = Some(self.ask_at.unwrap_or(now + self.timing.resend_interval));
        let version = attempt.version;
        if formation.is_some_and(|counted| engine.formation != Some(counted)) {
            // Engines that the coordinator doesn't know of step along.
            self.tell(attempt, ParticipantMessage::Refused { version }, outputs);
            return None;
        }
        if engine.has_promised(version, barrier_step) {
            self.tell(attempt, ParticipantMessage::Held { version }, outputs);
            return None;
        }
        if engine.step >= barrier_step || engine.staged != Some(version) {
            self.tell(attempt, ParticipantMessage::Refused { version }, outputs);
            return None;
        }
        self.promised_in = engine.formation;
        Some(EngineCommand::Hold {
            fencing: attempt.fencing,
            version,
            barrier_step,
        })
    }

    fn advance_finish(
        &mut self,
        attempt: &Attempt,
        barrier_step: u64,
        verdict: Verdict,
        engine: EngineState,
        now: Instant,
        outputs: &mut Vec<ParticipantOutput>,
    ) -> Option<EngineCommand> {
        let version = attempt.version;
        let done = match verdict {
            Verdict::Commit => engine.version >= version || self.has_reset(engine),
            // An order whose answer was lost may still be obeyed, until a
            // later one has been answered.
            Verdict::Abort => engine.has_dropped(version) && !self.unsettled(engine),
        };
        if done {
            self.tell(attempt, ParticipantMessage::Applied { version }, outputs);
            self.resolved = self.resolved.max(version);
            self.goal = Goal::Rest;
            self.ask_at = None;
            return None;
        }
        if verdict == Verdict::Commit && engine.next == Some(version) {
            // An engine holds one map that is to come into use. If the next
            // switch began now, its outcome would displace this one before
            // the barrier, and this rank alone would skip this map.
            self.engine = None;
            self.read_at = now + self.timing.resend_interval;
            return None;
        }
        // What is decided holds under any later number too. Under its own it
        // would be refused where a higher one has been seen, by this agent or
        // by an engine that checks, and the rank would wait for ever.
        let attempt = Attempt {
            fencing: self.fencing.max(attempt.fencing),
            ..attempt.clone()
        };
        if verdict == Verdict::Commit && engine.loading == Some(version) {
            return None;
        }
        let is_there = [engine.staged, engine.loading].contains(&Some(version));
        if !is_there && engine.arming.is_none() {
            return Some(stage_order(&attempt));
        }
        Some(EngineCommand::Outcome {
            fencing: attempt.fencing,
            version,
            barrier_step,
            verdict,
        })
    }

    /// Tells the coordinator once; it asks again if the answer is lost.
    fn tell(
        &mut self,
        attempt: &Attempt,
        message: ParticipantMessage,
        outputs: &mut Vec<ParticipantOutput>,
    ) {
        if let Some(to) = attempt.coordinator.as_deref().filter(|_| !self.told) {
            outputs.push(send(to, message));
        }
        self.told = true;
    }
}

fn stage_order(attempt: &Attempt) -> EngineCommand {
    EngineCommand::Stage {
        fencing: attempt.fencing,
        version: attempt.version,
        map: attempt.map.clone(),
    }
}
