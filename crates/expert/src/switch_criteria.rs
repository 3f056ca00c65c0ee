//! When a switch is worth its price.

use crate::Plan;
use std::time::Duration;

/// When a switch is worth its price beside what moves cost.
///
/// Moving experts costs as much whether or not anybody notices that steps are
/// slow. Nobody does while they stay well below the pauses that streams may
/// make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwitchCriteria {
    /// Steps that take less are fast enough.
    pub slow_step: Duration,
    /// Steps are too slow if they are about to take as long.
    pub projected_slow_step: Duration,
    /// Part of the time of the experts' work that a switch must save.
    pub min_gain: f64,
}

impl SwitchCriteria {
    /// Whether to switch to the map of `plan`, where a step has lately taken
    /// `step`; it is unknown in a group that was just formed.
    ///
    /// Right after a change of popularity most of the measured steps were
    /// still those of before, on a map that fitted: on the map in use they are
    /// about to take longer by what the plan saves.
    ///
    /// ```
    /// use expert::{Load, Map, MoveCost, Planner, Shape, Speeds, SwitchCriteria, Weights};
    /// use std::time::Duration;
    ///
    /// let criteria = SwitchCriteria {
    ///     slow_step: Duration::from_millis(66),
    ///     projected_slow_step: Duration::from_millis(90),
    ///     min_gain: 0.08,
    /// };
    /// let map = Map::uniform(Shape::with_spare(1, 4, 2, 1, 1));
    /// let planner = Planner {
    ///     weights: Weights { skew: 1.0, moves: 0.0 },
    ///     cost: MoveCost {
    ///         expert_bytes: 1,
    ///         store_bytes_per_s: 1e9,
    ///         slowdown: 0.1,
    ///         store_price: 0.0,
    ///         max_plan_bytes: u64::MAX,
    ///     },
    ///     horizon_windows: 6.0,
    /// };
    /// let plan = planner.plan(&map, &Load::new(1, 4), &Speeds::new(2, 1e-3));
    /// assert!(!criteria.should_switch(&plan, Some(Duration::from_millis(40))));
    /// ```
    #[must_use]
    pub fn should_switch(&self, plan: &Plan, step: Option<Duration>) -> bool {
        let saves = plan.before > 0.0 && plan.after <= plan.before * (1.0 - self.min_gain);
        if !saves {
            return false;
        }
        let Some(step) = step else {
            return true;
        };
        let longer = plan.before / plan.after.max(f64::MIN_POSITIVE);
        step >= self.slow_step
            || step.as_secs_f64() * longer >= self.projected_slow_step.as_secs_f64()
    }
}
