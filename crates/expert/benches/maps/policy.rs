//! The policies compared.

use expert::Weights;

/// The policies compared.
#[derive(Clone, Copy, PartialEq)]
pub enum Policy {
    /// The map of the first window; repaired when a rank is lost.
    Static,
    /// Made anew in each window, without regard to the former map.
    Full,
    /// The planner with the hotline's weights.
    Hotline,
    /// The planner with the association's weights.
    Association,
}

impl Policy {
    pub const ALL: [Policy; 4] = [
        Policy::Static,
        Policy::Full,
        Policy::Hotline,
        Policy::Association,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Policy::Static => "static",
            Policy::Full => "full replan",
            Policy::Hotline => "ours, hotline",
            Policy::Association => "ours, association",
        }
    }

    /// Weights of the planner; without a weight of skew it only repairs.
    pub fn weights(self) -> Weights {
        match self {
            Policy::Static | Policy::Full => Weights {
                skew: 0.0,
                moves: 1.0,
            },
            Policy::Hotline => Weights {
                skew: 4.0,
                moves: 1.0,
            },
            Policy::Association => Weights {
                skew: 1.0,
                moves: 4.0,
            },
        }
    }
}
