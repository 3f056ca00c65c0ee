//! Commands and queries on expert-map decisions.

use super::StateMachine;
use bytes::Bytes;
use expert::{Decision, GroupState, Verdict};
use wire::proto::{CoordinatorOutcome, DecideMap, MapDecision, OpenCoordinator};

impl StateMachine {
    pub(super) fn open_coordinator(&mut self, open: &OpenCoordinator) -> CoordinatorOutcome {
        let decisions = &mut self.decisions;
        let state = decisions.open_coordinator(&open.group, &open.agent, open.incarnation);
        coordinator_outcome(&open.group, &state)
    }

    pub(super) fn decide_map(&mut self, decide: DecideMap) -> MapDecision {
        let verdict = if decide.commit {
            Verdict::Commit
        } else {
            Verdict::Abort
        };
        let decision = Decision {
            fencing: decide.fencing,
            version: decide.version,
            barrier_step: decide.barrier_step,
            verdict,
            map: decide.map,
        };
        let outcome = self.decisions.decide(&decide.group, decision);
        let current = outcome.current().map(|d| map_decision(&decide.group, d));
        MapDecision {
            accepted: outcome.is_accepted(),
            group: decide.group,
            ..current.unwrap_or_default()
        }
    }

    /// Returns the coordinator and the decisions of a group.
    pub(crate) fn map(&self, group: &str) -> CoordinatorOutcome {
        let state = self.decisions.group_state(group);
        state.map_or_else(CoordinatorOutcome::default, |state| {
            coordinator_outcome(group, state)
        })
    }
}

fn coordinator_outcome(group: &str, state: &GroupState) -> CoordinatorOutcome {
    let current = state.current.as_ref();
    let committed = state.committed.iter();
    CoordinatorOutcome {
        fencing: state.fencing,
        current: current.map(|decision| map_decision(group, decision)),
        committed: committed.map(|d| map_decision(group, d)).collect(),
    }
}

fn map_decision(group: &str, decision: &Decision) -> MapDecision {
    MapDecision {
        group: group.to_owned(),
        fencing: decision.fencing,
        version: decision.version,
        barrier_step: decision.barrier_step,
        commit: decision.verdict == Verdict::Commit,
        map: Bytes::clone(&decision.map),
        accepted: true,
    }
}
