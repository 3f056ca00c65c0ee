//! The orders that bring a participant to its goal.

use crate::goal::{Attempt, Goal};
use crate::participant::send;
use crate::{
    EngineOrder, EngineState, Participant, ParticipantMessage, ParticipantOutput, Verdict,
};
use std::time::Instant;

impl Participant {
    /// Gives the next order, or tells the coordinator that there is none.
    pub(crate) fn advance(&mut self, now: Instant, outputs: &mut Vec<ParticipantOutput>) {
        let Some(engine) = self.engine else {
            let settled = self.quiet_until.is_none() || self.goal != Goal::Learn;
            if settled && now >= self.read_at {
                self.order(EngineOrder::Read, now, outputs);
            }
            return;
        };
        let next = match self.goal.clone() {
            Goal::Learn => {
                self.ask(now);
                None
            }
            Goal::Rest => None,
            Goal::Stage { attempt } => self.advance_stage(&attempt, engine, outputs),
            Goal::Hold {
                attempt,
                barrier_step,
            } => self.advance_hold(&attempt, barrier_step, engine, now, outputs),
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
        }
    }

    fn order(&mut self, order: EngineOrder, now: Instant, outputs: &mut Vec<ParticipantOutput>) {
        self.engine = None;
        self.order_until = Some(now + self.timing.order);
        self.read_at = now;
        outputs.push(ParticipantOutput::Order(order));
    }

    fn advance_stage(
        &mut self,
        attempt: &Attempt,
        engine: EngineState,
        outputs: &mut Vec<ParticipantOutput>,
    ) -> Option<EngineOrder> {
        if engine.staged != Some(attempt.version) {
            return Some(stage_order(attempt));
        }
        let message = ParticipantMessage::Staged {
            version: attempt.version,
            step: engine.step,
        };
        self.tell(attempt, message, outputs);
        None
    }

    fn advance_hold(
        &mut self,
        attempt: &Attempt,
        barrier_step: u64,
        engine: EngineState,
        now: Instant,
        outputs: &mut Vec<ParticipantOutput>,
    ) -> Option<EngineOrder> {
        // From here on the outcome may be committed at any time, and the
        // message that tells it may be lost: the durable state is asked.
        self.ask_at = Some(self.ask_at.unwrap_or(now + self.timing.resend));
        let version = attempt.version;
        if engine.staged == Some(version) && engine.held == Some(barrier_step) {
            self.tell(attempt, ParticipantMessage::Held { version }, outputs);
            return None;
        }
        if engine.step >= barrier_step || engine.staged != Some(version) {
            self.tell(attempt, ParticipantMessage::Refused { version }, outputs);
            return None;
        }
        Some(EngineOrder::Hold {
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
    ) -> Option<EngineOrder> {
        let version = attempt.version;
        let done = match verdict {
            Verdict::Commit => engine.version >= version,
            Verdict::Abort => engine.staged != Some(version) && engine.held.is_none(),
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
            self.read_at = now + self.timing.resend;
            return None;
        }
        // What is decided holds under any later number too. Under its own it
        // would be refused where a higher one has been seen, by this agent or
        // by an engine that checks, and the rank would wait for ever.
        let attempt = Attempt {
            fencing: self.fencing.max(attempt.fencing),
            ..attempt.clone()
        };
        if engine.staged != Some(version) {
            return Some(stage_order(&attempt));
        }
        Some(EngineOrder::Outcome {
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

fn stage_order(attempt: &Attempt) -> EngineOrder {
    EngineOrder::Stage {
        fencing: attempt.fencing,
        version: attempt.version,
        map: attempt.map.clone(),
    }
}
