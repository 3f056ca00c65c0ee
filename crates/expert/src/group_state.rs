//! Durable state of one group.

use crate::{Decision, Verdict};

/// Number of committed decisions kept for each group.
///
/// A rank that restarts between a decision and its barrier step still needs
/// the previous map, so the newest one alone is not sufficient.
const MAX_COMMITTED: usize = 2;

/// Durable state of one group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupState {
    /// The current fencing number; 0 before the first coordinator.
    pub fencing: u64,
    /// Agent that opened the coordinator with this number.
    pub agent: String,
    /// Incarnation of that agent.
    pub incarnation: u64,
    /// The latest decision, whether commit or abort.
    pub current: Option<Decision>,
    /// The latest committed decisions, newest first, at most two.
    pub committed: Vec<Decision>,
}

impl GroupState {
    /// Version required of the next decision.
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

    /// The committed decision whose map is in force in `step`.
    ///
    /// `None` means that no map has been committed for that step, so that the
    /// group's initial map is in force.
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

    /// Records `decision` as the latest.
    pub(crate) fn record(&mut self, decision: Decision) {
        if decision.verdict == Verdict::Commit {
            self.committed.insert(0, decision.clone());
            self.committed.truncate(MAX_COMMITTED);
        }
        self.current = Some(decision);
    }
}
