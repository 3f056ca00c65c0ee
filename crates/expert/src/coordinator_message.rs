//! Messages from a coordinator to the participants.

use crate::Verdict;
use bytes::Bytes;

/// Message from a coordinator to a participant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CoordinatorMessage {
    /// Load a map without using it yet.
    Stage {
        /// Fencing number of the coordinator.
        fencing: u64,
        /// Version of the map.
        version: u64,
        /// The encoded map.
        map: Bytes,
    },
    /// Promise not to run `barrier_step` before the outcome is known.
    Hold {
        /// Fencing number of the coordinator.
        fencing: u64,
        /// Version of the staged map.
        version: u64,
        /// First step that uses the map, if committed.
        barrier_step: u64,
        /// Formation that the engines must be in.
        formation: u64,
    },
    /// The outcome of a switch.
    Outcome {
        /// Fencing number of the decision.
        fencing: u64,
        /// Version of the map.
        version: u64,
        /// First step that uses the map, if committed.
        barrier_step: u64,
        /// Whether the map comes into force.
        verdict: Verdict,
    },
}
