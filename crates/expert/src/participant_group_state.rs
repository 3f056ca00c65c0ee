//! What a participant does with what the durable state holds.

use crate::goal::{Attempt, Goal};
use crate::{Arming, Decision, GroupState, Participant, Verdict};
use bytes::Bytes;

impl Participant {
    /// Finds out where a former life of this agent left off.
    pub(crate) fn learn(&mut self, standing: &GroupState, latest: u64) {
        let Some(engine) = self.engine else {
            return;
        };
        self.promised_in = engine.formation;
        match (engine.staged, engine.held_step) {
            // What such an engine has loaded stays there, in use or given up.
            _ if engine.arming == Some(Arming::Unarmed) && engine.held_step.is_none() => {
                self.goal = Goal::Rest;
                self.catch_up(standing, latest);
            }
            (Some(version), _) if version <= latest => self.decided(version, standing),
            // A promise of the former life binds this one.
            (Some(version), Some(barrier_step)) => {
                self.goal = Goal::Hold {
                    attempt: learnt(version, standing.fencing, Bytes::new()),
                    barrier_step,
                    formation: None,
                };
                self.told = true;
            }
            _ => {
                self.goal = Goal::Rest;
                self.catch_up(standing, latest);
            }
        }
    }

    /// The attempt at `version` is decided.
    pub(crate) fn decided(&mut self, version: u64, standing: &GroupState) {
        let commit = standing.committed.iter().find(|d| d.version == version);
        if let Some(decision) = commit {
            self.commit(decision);
            return;
        }
        let attempt = match &self.goal {
            Goal::Stage { attempt } | Goal::Hold { attempt, .. } => attempt.clone(),
            _ => learnt(version, standing.fencing, Bytes::new()),
        };
        self.finish(attempt, 0, Verdict::Abort);
    }

    /// Nothing is at work here; takes up a committed map that was missed.
    pub(crate) fn catch_up(&mut self, standing: &GroupState, latest: u64) {
        self.resolved = self.resolved.max(latest);
        let known = self
            .engine
            .map(|engine| engine.next.unwrap_or(engine.version));
        // What it was told in a former formation is of no matter any more.
        let resets = self.engine.is_some_and(|engine| engine.arming.is_some());
        if let (Some(newest), Some(known)) = (standing.committed.first(), known)
            && !resets
            && newest.version > known
        {
            self.commit(newest);
        }
    }

    pub(crate) fn commit(&mut self, decision: &Decision) {
        let attempt = learnt(decision.version, decision.fencing, decision.map.clone());
        self.finish(attempt, decision.barrier_step, Verdict::Commit);
    }
}

/// An attempt known from the engine or the durable state.
fn learnt(version: u64, fencing: u64, map: Bytes) -> Attempt {
    Attempt {
        coordinator: None,
        fencing,
        version,
        map,
    }
}
