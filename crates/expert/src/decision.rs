//! A decision on a switch of a group's expert map.

use crate::Verdict;
use bytes::Bytes;

/// A decision on a switch of a group's expert map.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// Fencing number of the coordinator that proposed it.
    pub fencing: u64,
    /// Sequence number of the decision within its group, including aborts.
    pub version: u64,
    /// First step that runs on the map, if committed.
    pub barrier_step: u64,
    /// Whether the map comes into force.
    pub verdict: Verdict,
    /// The encoded map, empty for an abort.
    pub map: Bytes,
}
