//! Weights of step time and of moves.

/// Weights of step time and of moves, set by the release note.
///
/// Only their ratio determines which moves pay off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of a second of step time.
    pub skew: f64,
    /// Weight of a second of [move cost](crate::MoveCost::seconds).
    pub moves: f64,
}
