//! The place of one attempt at a target.

use std::sync::Arc;
use std::time::Instant;

use route::{AttemptKey, AttemptResult};

use super::Placement;
use crate::links::Agent;
use crate::pool_name::PoolName;

/// What an attempt asks of its target beside room.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptRequirements {
    /// Targets that the request has failed on.
    pub(crate) avoid: Vec<String>,
    /// How the stream is to go on.
    pub(crate) start: StartAt,
}

/// Where the answer is to begin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StartAt {
    /// At its beginning.
    #[default]
    Beginning,
    /// After the events that the caller was given; the target must be able to
    /// resume.
    Event(u64),
}

/// What the choice found.
#[derive(Debug)]
pub(crate) struct Assignment {
    pub(crate) agent: Arc<Agent>,
    pub(crate) group: String,
    pub(crate) rank: u32,
    pub(crate) attempt: AttemptKey,
}

/// The place of one attempt; dropping it tells the pool that the attempt was
/// given up.
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

    /// The first byte of the answer has arrived.
    pub(crate) fn record_first_byte(&self) {
        let mut inner = self.placement.lock();
        if let Some(state) = inner.pools.get_mut(&self.pool) {
            state
                .pool
                .answer_started(Instant::now(), self.assignment.attempt);
        }
    }

    /// Ends the attempt.
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
