//! Reaction of a participant to the state of its group.

use crate::goal::{Goal, SwitchAttempt};
use crate::{Arming, Decision, GroupState, Participant, Verdict};
use bytes::Bytes;

impl Participant {
    /// Recovers the progress of this agent before its restart.
    pub(crate) fn recover(&mut self, group_state: &GroupState, latest: u64) {
        let Some(engine) = self.engine else {
            return;
        };
        self.promise_formation = engine.formation;
        match (engine.staged, engine.held_step) {
            // Such an engine keeps its loaded map, whether in use or aborted.
            _ if engine.arming == Some(Arming::Unarmed) && engine.held_step.is_none() => {
                self.goal = Goal::Idle;
                self.catch_up(group_state, latest);
            }
            (Some(version), _) if version <= latest => self.on_decided(version, group_state),
            // A promise given before the restart is still binding.
            (Some(version), Some(barrier_step)) => {
                self.goal = Goal::Hold {
                    attempt: recovered_attempt(version, group_state.fencing, Bytes::new()),
                    barrier_step,
                    formation: None,
                };
                self.has_replied = true;
            }
            _ => {
                self.goal = Goal::Idle;
                self.catch_up(group_state, latest);
            }
        }
    }

    /// Takes over the decision on `version`.
    pub(crate) fn on_decided(&mut self, version: u64, group_state: &GroupState) {
        let commit = group_state.committed.iter().find(|d| d.version == version);
        if let Some(decision) = commit {
            self.apply_commit(decision);
            return;
        }
        let attempt = match &self.goal {
            Goal::Stage { attempt } | Goal::Hold { attempt, .. } => attempt.clone(),
            _ => recovered_attempt(version, group_state.fencing, Bytes::new()),
        };
        self.apply_outcome(attempt, 0, Verdict::Abort);
    }

    /// Takes over a committed map that an idle participant has missed.
    pub(crate) fn catch_up(&mut self, group_state: &GroupState, latest: u64) {
        self.resolved_version = self.resolved_version.max(latest);
        let known = self
            .engine
            .map(|engine| engine.next.unwrap_or(engine.version));
        // Commands from a previous formation no longer apply to such an engine.
        let resets = self.engine.is_some_and(|engine| engine.arming.is_some());
        if let (Some(newest), Some(known)) = (group_state.committed.first(), known)
            && !resets
            && newest.version > known
        {
            self.apply_commit(newest);
        }
    }

    pub(crate) fn apply_commit(&mut self, decision: &Decision) {
        let attempt = recovered_attempt(decision.version, decision.fencing, decision.map.clone());
        self.apply_outcome(attempt, decision.barrier_step, Verdict::Commit);
    }
}

/// An attempt known from the engine or the durable state, without a coordinator
/// that expects replies.
fn recovered_attempt(version: u64, fencing: u64, map: Bytes) -> SwitchAttempt {
    SwitchAttempt {
        coordinator: None,
        fencing,
        version,
        map,
    }
}
