//! Faults of a map.

use crate::{ExpertId, Rank};
use std::fmt::{self, Display};

/// A fault that makes a map unusable or wasteful.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MapFault {
    /// The number of slots doesn't match the shape.
    Size {
        /// Slots that the shape has.
        expected: usize,
        /// Slots that the map has.
        found: usize,
    },
    /// A slot names an expert that the shape doesn't have.
    UnknownExpert {
        /// Layer of the slot.
        layer: usize,
        /// Rank of the slot.
        rank: Rank,
        /// The unknown expert.
        expert: ExpertId,
    },
    /// A rank holds the same expert twice, which wastes a slot.
    Duplicate {
        /// Layer of the slots.
        layer: usize,
        /// Rank of the slots.
        rank: Rank,
        /// The duplicate expert.
        expert: ExpertId,
    },
    /// No live rank holds the expert, so that its tokens can't be computed.
    Missing {
        /// Layer without the expert.
        layer: usize,
        /// The expert.
        expert: ExpertId,
    },
}

impl Display for MapFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MapFault::Size { expected, found } => {
                write!(f, "{found} slots where the group has {expected}")
            }
            MapFault::UnknownExpert {
                layer,
                rank,
                expert,
            } => write!(
                f,
                "unknown expert {} at layer {layer} rank {}",
                expert.0, rank.0
            ),
            MapFault::Duplicate {
                layer,
                rank,
                expert,
            } => write!(
                f,
                "expert {} twice at layer {layer} rank {}",
                expert.0, rank.0
            ),
            MapFault::Missing { layer, expert } => {
                write!(f, "no copy of expert {} at layer {layer}", expert.0)
            }
        }
    }
}
