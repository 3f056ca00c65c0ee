//! What an agent asks of its engine during a switch.

use crate::{Decision, Verdict};
use bytes::Bytes;

/// What an agent asks of its engine during a switch, one at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineCommand {
    /// Tell the state.
    Read,
    /// Load a map without using it.
    Stage {
        /// Fencing number of the coordinator.
        fencing: u64,
        /// Version of the map.
        version: u64,
        /// The encoded map.
        map: Bytes,
    },
    /// Don't run `barrier_step` until the outcome is known.
    Hold {
        /// Fencing number of the coordinator.
        fencing: u64,
        /// Version of the staged map.
        version: u64,
        /// The step.
        barrier_step: u64,
    },
    /// Take over the maps in force and begin to run steps; nothing if it
    /// doesn't wait for that, or steps in another formation.
    Join {
        /// Fencing number under which the maps were learnt.
        fencing: u64,
        /// Formation that it steps in.
        formation: u64,
        /// The newest committed decisions, oldest first.
        maps: Vec<Decision>,
    },
    /// Use the staged map from `barrier_step` on, or drop it.
    Outcome {
        /// Fencing number of the decision.
        fencing: u64,
        /// Version of the staged map.
        version: u64,
        /// The step.
        barrier_step: u64,
        /// What was decided.
        verdict: Verdict,
    },
}
