//! One decided switch of a group's expert map.

use crate::Verdict;
use bytes::Bytes;

/// One decided switch of a group's expert map.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// Fencing number of the coordinator that asked for it.
    pub fencing: u64,
    /// Number of the decision within its group; aborts are counted too.
    pub version: u64,
    /// First step that runs on the map, if it was committed.
    pub barrier_step: u64,
    /// Whether the map comes into force.
    pub verdict: Verdict,
    /// The encoded map, empty for an abort.
    pub map: Bytes,
}
