//! Scenarios for a group over one day.

use crate::trace::WINDOWS;

/// Relative speed of the straggler.
const STRAGGLER_SPEED: f64 = 0.6;

/// What happens to a group over one day.
#[derive(Clone, Copy, PartialEq)]
pub enum Scenario {
    DailyDrift,
    SuddenFlip,
    Straggler,
    LostRank,
}

impl Scenario {
    pub const ALL: [Scenario; 4] = [
        Scenario::DailyDrift,
        Scenario::SuddenFlip,
        Scenario::Straggler,
        Scenario::LostRank,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Scenario::DailyDrift => "daily drift",
            Scenario::SuddenFlip => "sudden flip",
            Scenario::Straggler => "straggler",
            Scenario::LostRank => "lost rank",
        }
    }

    /// Maximum amplitude of the daily variation of an expert's popularity, as a
    /// natural logarithm.
    pub fn max_amplitude(self) -> f64 {
        match self {
            Scenario::DailyDrift => 1.0,
            Scenario::SuddenFlip => 0.3,
            Scenario::Straggler | Scenario::LostRank => 0.5,
        }
    }

    /// Whether popularity flips at the start of `window`.
    pub fn flips_at(self, window: usize) -> bool {
        self == Scenario::SuddenFlip && (window == WINDOWS / 3 || window == WINDOWS * 2 / 3)
    }

    /// Relative speed of `rank` in `window`; `None` while it is lost.
    pub fn speed(self, rank: usize, window: usize) -> Option<f64> {
        let is_affected = rank == 1 && (WINDOWS / 4..WINDOWS * 3 / 4).contains(&window);
        match self {
            Scenario::Straggler if is_affected => Some(STRAGGLER_SPEED),
            Scenario::LostRank if is_affected => None,
            _ => Some(1.0),
        }
    }
}
