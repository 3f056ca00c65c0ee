//! What the durable state holds for one group.

use crate::{Decision, Verdict};

/// Committed decisions that are kept for each group.
///
/// A rank that restarts between a decision and its barrier step still needs
/// the map before it, so the newest one alone would not do.
const COMMITTED_KEPT: usize = 2;

/// What the durable state holds for one group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupState {
    /// The current fencing number; 0 before the first coordinator.
    pub fencing: u64,
    /// Agent that holds the fencing number.
    pub agent: String,
    /// Incarnation of that agent.
    pub incarnation: u64,
    /// The latest decision, commit or abort.
    pub current: Option<Decision>,
    /// The newest committed decisions, newest first, at most two.
    pub committed: Vec<Decision>,
}

impl GroupState {
    /// Version that the next decision must have.
    ///
    /// ```
    /// assert_eq!(expert::GroupState::default().next_version(), 1);
    /// ```
    #[must_use]
    pub fn next_version(&self) -> u64 {
        self.current
            .as_ref()
            .map_or(1, |decision| decision.version + 1)
    }

    /// The committed decision that holds in `step`.
    ///
    /// `None` means that no map has been decided for that step, so the one
    /// that the group was started with holds.
    ///
    /// ```
    /// assert!(expert::GroupState::default().in_force(0).is_none());
    /// ```
    #[must_use]
    pub fn in_force(&self, step: u64) -> Option<&Decision> {
        self.committed
            .iter()
            .find(|decision| decision.barrier_step <= step)
    }

    /// Takes `decision` in as the latest.
    pub(crate) fn record(&mut self, decision: Decision) {
        if decision.verdict == Verdict::Commit {
            self.committed.insert(0, decision.clone());
            self.committed.truncate(COMMITTED_KEPT);
        }
        self.current = Some(decision);
    }
}
