//! An attempt assigned to a target.

use std::sync::Arc;
use std::time::Instant;

use route::{AttemptKey, AttemptResult};

use super::Placement;
use crate::links::Agent;
use crate::pool_name::PoolName;

/// Requirements of an attempt for its target, apart from capacity.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptRequirements {
    /// Targets at which the request has failed.
    pub(crate) avoid: Vec<String>,
    /// Where the answer starts.
    pub(crate) start: StartAt,
}

/// Where an answer starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StartAt {
    /// At the beginning.
    #[default]
    Beginning,
    /// After this number of events, which the caller has received; requires a target
    /// that can resume.
    Event(u64),
}

/// The selected target.
#[derive(Debug)]
pub(crate) struct Assignment {
    pub(crate) agent: Arc<Agent>,
    pub(crate) group: String,
    pub(crate) rank: u32,
    pub(crate) attempt: AttemptKey,
}

/// An attempt assigned to a target. If it is dropped without [`PlacedAttempt::end`],
/// the pool counts the attempt as cancelled.
#[derive(Debug)]
pub(crate) struct PlacedAttempt {
    placement: Arc<Placement>,
    pool: PoolName,
    assignment: Assignment,
    result: Option<AttemptResult>,
}

impl PlacedAttempt {
    pub(super) fn new(placement: Arc<Placement>, pool: PoolName, assignment: Assignment) -> Self {
        PlacedAttempt {
            placement,
            pool,
            assignment,
            result: None,
        }
    }

    pub(crate) fn agent(&self) -> &Arc<Agent> {
        &self.assignment.agent
    }

    pub(crate) fn group(&self) -> &str {
        &self.assignment.group
    }

    pub(crate) fn rank(&self) -> u32 {
        self.assignment.rank
    }

    /// Records that the first byte of the answer has arrived.
    pub(crate) fn record_first_byte(&self) {
        let mut inner = self.placement.lock();
        if let Some(state) = inner.pools.get_mut(&self.pool) {
            state
                .pool
                .answer_started(Instant::now(), self.assignment.attempt);
        }
    }

    /// Ends the attempt with `result`.
    pub(crate) fn end(mut self, result: AttemptResult) {
        self.result = Some(result);
    }
}

impl Drop for PlacedAttempt {
    fn drop(&mut self) {
        let result = self.result.unwrap_or(AttemptResult::Cancelled);
        let mut inner = self.placement.lock();
        if let Some(state) = inner.pools.get_mut(&self.pool) {
            state
                .pool
                .end(Instant::now(), self.assignment.attempt, result);
        }
    }
}
