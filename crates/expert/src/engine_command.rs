//! Commands from an agent to its engine during a switch.

use crate::{Decision, Verdict};
use bytes::Bytes;

/// Command from an agent to its engine during a switch. Only one is in flight
/// at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineCommand {
    /// Report the state.
    Read,
    /// Load a map without using it yet.
    Stage {
        /// Fencing number of the coordinator.
        fencing: u64,
        /// Version of the map.
        version: u64,
        /// The encoded map.
        map: Bytes,
    },
    /// Don't run `barrier_step` before the outcome is known.
    Hold {
        /// Fencing number of the coordinator.
        fencing: u64,
        /// Version of the staged map.
        version: u64,
        /// First step that uses the map, if committed.
        barrier_step: u64,
    },
    /// Adopt the committed maps and start to run steps. The engine ignores it
    /// unless it is awaiting the join and is in this formation.
    Join {
        /// Fencing number under which the maps were read.
        fencing: u64,
        /// Formation to join.
        formation: u64,
        /// The latest committed decisions, oldest first.
        maps: Vec<Decision>,
    },
    /// Use the staged map from `barrier_step` on, or drop it.
    Outcome {
        /// Fencing number of the decision.
        fencing: u64,
        /// Version of the staged map.
        version: u64,
        /// First step that uses the map, if committed.
        barrier_step: u64,
        /// Whether the map comes into force.
        verdict: Verdict,
    },
}
