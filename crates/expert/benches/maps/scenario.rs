//! What happens to the group during the day.

use crate::trace::WINDOWS;

/// Speed of the straggler.
const STRAGGLER: f64 = 0.6;

/// What happens to the group during the day.
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

    /// Largest swing of an expert's popularity over the day, as a logarithm.
    pub fn swing(self) -> f64 {
        match self {
            Scenario::DailyDrift => 1.0,
            Scenario::SuddenFlip => 0.3,
            Scenario::Straggler | Scenario::LostRank => 0.5,
        }
    }

    pub fn flips_at(self, t: usize) -> bool {
        self == Scenario::SuddenFlip && (t == WINDOWS / 3 || t == WINDOWS * 2 / 3)
    }

    /// Speed of `rank` in window `t`; `None` while it is lost.
    pub fn speed(self, rank: usize, t: usize) -> Option<f64> {
        let hit = rank == 1 && (WINDOWS / 4..WINDOWS * 3 / 4).contains(&t);
        match self {
            Scenario::Straggler if hit => Some(STRAGGLER),
            Scenario::LostRank if hit => None,
            _ => Some(1.0),
        }
    }
}
