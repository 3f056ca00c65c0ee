//! Policies compared by the benchmark.

use expert::Weights;

/// A policy for choosing expert maps.
#[derive(Clone, Copy, PartialEq)]
pub enum Policy {
    /// The map planned for the first window; repaired when a rank is lost.
    Static,
    /// A map built from scratch in each window.
    Full,
    /// The planner with more weight on skew.
    SkewFirst,
    /// The planner with more weight on moves.
    MovesFirst,
}

impl Policy {
    pub const ALL: [Policy; 4] = [
        Policy::Static,
        Policy::Full,
        Policy::SkewFirst,
        Policy::MovesFirst,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Policy::Static => "static",
            Policy::Full => "full replan",
            Policy::SkewFirst => "planner, skew 4 : moves 1",
            Policy::MovesFirst => "planner, skew 1 : moves 4",
        }
    }

    /// Weights of the planner. With a zero weight of skew it only repairs.
    pub fn weights(self) -> Weights {
        match self {
            Policy::Static | Policy::Full => Weights {
                skew: 0.0,
                moves: 1.0,
            },
            Policy::SkewFirst => Weights {
                skew: 4.0,
                moves: 1.0,
            },
            Policy::MovesFirst => Weights {
                skew: 1.0,
                moves: 4.0,
            },
        }
    }
}
