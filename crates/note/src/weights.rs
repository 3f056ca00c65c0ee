//! How much step-time skew and moves of experts weigh.

use cfg::Reader;
use serde_json::{Value, json};

/// Largest weight that makes sense.
const MOST: f64 = 1_000_000.0;

/// Weights of step-time skew against moves of experts, without a unit; only
/// their ratio counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// Weight of step time saved.
    pub skew: f64,
    /// Weight of what moving experts costs.
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
        let skew = r.within("skew", default.skew, 0.0..=MOST);
        let moves = r.within("moves", default.moves, 0.0..=MOST);
        if skew == 0.0 && moves == 0.0 {
            r.finding("skew", "one of skew and moves must be above 0");
        }
        Weights { skew, moves }
    }

    pub(crate) fn to_value(self) -> Value {
        json!({"skew": self.skew, "moves": self.moves})
    }
}
