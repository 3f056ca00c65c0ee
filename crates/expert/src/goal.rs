//! What a participant is working towards.

use crate::{GroupState, Verdict};
use bytes::Bytes;

/// What a participant is working towards.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Goal {
    /// To learn from engine and durable state where a former life of this
    /// agent left off.
    Learn,
    /// The engine, which was started, on the maps that the others use.
    Join {
        /// What stood once no promise of its former life counted any more.
        standing: Option<GroupState>,
    },
    /// Nothing is to be done.
    Rest,
    /// The map loaded.
    Stage { attempt: Attempt },
    /// The engine stopped before the barrier.
    Hold {
        attempt: Attempt,
        barrier_step: u64,
        /// Formation that the coordinator counts on, if it has asked.
        formation: Option<u64>,
    },
    /// The engine told the outcome.
    Finish {
        attempt: Attempt,
        barrier_step: u64,
        verdict: Verdict,
    },
}

/// One attempt at a switch, as a participant knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Attempt {
    pub(crate) coordinator: Option<String>,
    pub(crate) fencing: u64,
    pub(crate) version: u64,
    /// Empty if only the durable state has it.
    pub(crate) map: Bytes,
}

impl Goal {
    /// Version of the attempt that isn't decided, as far as is known here.
    pub(crate) fn undecided(&self) -> Option<u64> {
        match self {
            Goal::Stage { attempt } | Goal::Hold { attempt, .. } => Some(attempt.version),
            Goal::Learn | Goal::Join { .. } | Goal::Rest | Goal::Finish { .. } => None,
        }
    }
}
