//! Weights of step-time skew and expert moves.

use cfg::Reader;
use serde_json::{Value, json};

/// Maximum value of a weight.
const MAX_WEIGHT: f64 = 1_000_000.0;

/// Weights of step-time skew and expert moves in planning an expert map. They have
/// no unit; only their ratio matters.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// Weight of the step time saved.
    pub skew: f64,
    /// Weight of the cost of moving experts.
    pub moves: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Weights {
            skew: 1.0,
            moves: 1.0,
        }
    }
}

impl Weights {
    pub(crate) fn read(r: &mut Reader) -> Self {
        let default = Weights::default();
        let skew = r.within("skew", default.skew, 0.0..=MAX_WEIGHT);
        let moves = r.within("moves", default.moves, 0.0..=MAX_WEIGHT);
        if skew == 0.0 && moves == 0.0 {
            r.finding("skew", "one of skew and moves must be above 0");
        }
        Weights { skew, moves }
    }

    pub(crate) fn to_value(self) -> Value {
        json!({"skew": self.skew, "moves": self.moves})
    }
}
