//! What a coordinator tells the participants.

use crate::Verdict;
use bytes::Bytes;

/// What a coordinator tells the participants.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CoordinatorMessage {
    /// Load a map without using it.
    Stage {
        /// Fencing number of the coordinator.
        fencing: u64,
        /// Version of the map.
        version: u64,
        /// The encoded map.
        map: Bytes,
    },
    /// Promise not to pass `barrier_step` without the outcome.
    Hold {
        /// Fencing number of the coordinator.
        fencing: u64,
        /// Version of the staged map.
        version: u64,
        /// The step.
        barrier_step: u64,
        /// Formation of the engines that promise.
        formation: u64,
    },
    /// What was decided.
    Outcome {
        /// Fencing number of the decision.
        fencing: u64,
        /// Version of the map.
        version: u64,
        /// The first step that uses it, if committed.
        barrier_step: u64,
        /// Whether it comes into force.
        verdict: Verdict,
    },
}
