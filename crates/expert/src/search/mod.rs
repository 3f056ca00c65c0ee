//! Local search for better placements within one layer.

mod candidate;
mod chain;
mod delta;
mod kick;
mod layer_state;
mod moves;
mod repair;

pub(crate) use candidate::Candidate;
pub(crate) use chain::{Chain, Segment};
pub(crate) use delta::Delta;
pub(crate) use layer_state::{LayerState, NO_EXPERT};
