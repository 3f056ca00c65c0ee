//! Goal of a participant.

use crate::{GroupState, Verdict};
use bytes::Bytes;

/// Goal of a participant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Goal {
    /// Recover the progress of this agent before its restart from the engine
    /// and the durable state.
    Recover,
    /// Bring a restarted engine onto the maps that the other engines use.
    Join {
        /// The state of the group once promises that the engine gave before
        /// its restart no longer count; `None` until it is known.
        group_state: Option<GroupState>,
    },
    /// Nothing to do.
    Idle,
    /// Have the engine load the map.
    Stage { attempt: SwitchAttempt },
    /// Have the engine promise to stop before the barrier step.
    Hold {
        attempt: SwitchAttempt,
        barrier_step: u64,
        /// Formation that the coordinator expects, if it has sent a hold.
        formation: Option<u64>,
    },
    /// Deliver the outcome to the engine.
    ApplyOutcome {
        attempt: SwitchAttempt,
        barrier_step: u64,
        verdict: Verdict,
    },
}

/// What a participant knows of an attempted switch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SwitchAttempt {
    /// Agent of the coordinator that expects replies, if any.
    pub(crate) coordinator: Option<String>,
    pub(crate) fencing: u64,
    pub(crate) version: u64,
    /// The encoded map; empty if only the durable state holds it.
    pub(crate) map: Bytes,
}

impl Goal {
    /// Version of the attempt whose decision this participant doesn't know.
    pub(crate) fn undecided_version(&self) -> Option<u64> {
        match self {
            Goal::Stage { attempt } | Goal::Hold { attempt, .. } => Some(attempt.version),
            Goal::Recover | Goal::Join { .. } | Goal::Idle | Goal::ApplyOutcome { .. } => None,
        }
    }
}
