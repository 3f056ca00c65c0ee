//! Expert-map decisions.

use super::Machine;
use bytes::Bytes;
use expert::{Decision, GroupState, Verdict};
use wire::proto::{CoordinatorOutcome, DecideMap, MapDecision, OpenCoordinator};

impl Machine {
    pub(super) fn open_coordinator(&mut self, open: &OpenCoordinator) -> CoordinatorOutcome {
        let decisions = &mut self.decisions;
        let standing = decisions.open_coordinator(&open.group, &open.agent, open.incarnation);
        coordinator_outcome(&open.group, &standing)
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

    /// What stands for a group.
    pub(crate) fn map(&self, group: &str) -> CoordinatorOutcome {
        let standing = self.decisions.group_state(group);
        standing.map_or_else(CoordinatorOutcome::default, |standing| {
            coordinator_outcome(group, standing)
        })
    }
}

fn coordinator_outcome(group: &str, standing: &GroupState) -> CoordinatorOutcome {
    let current = standing.current.as_ref();
    let committed = standing.committed.iter();
    CoordinatorOutcome {
        fencing: standing.fencing,
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
