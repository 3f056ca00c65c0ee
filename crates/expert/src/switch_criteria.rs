//! Criteria for switching to a planned map.

use crate::Plan;
use std::time::Duration;

/// Criteria for switching to a planned map, besides the cost of its moves.
///
/// Moving experts costs the same whether or not clients notice slow steps, and
/// they don't while steps are well below the pauses allowed within a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwitchCriteria {
    /// Step time from which on steps are too slow.
    pub slow_step: Duration,
    /// Step time from which on steps are too slow if they are projected to take
    /// as long on the current map.
    pub projected_slow_step: Duration,
    /// Share of the expected step time that a switch must save, 0 to 1.
    pub min_gain: f64,
}

impl SwitchCriteria {
    /// Whether to switch to the map of `plan` when steps have recently taken
    /// `step_time`, which is unknown in a group that has just formed.
    ///
    /// Right after a change of popularity, most of the measured steps ran with
    /// the old popularity, which the current map suited. The step time on the
    /// current map is therefore projected to grow by the factor that the plan
    /// saves.
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
    pub fn should_switch(&self, plan: &Plan, step_time: Option<Duration>) -> bool {
        let saves_enough = plan.before > 0.0 && plan.after <= plan.before * (1.0 - self.min_gain);
        if !saves_enough {
            return false;
        }
        let Some(step_time) = step_time else {
            return true;
        };
        let growth = plan.before / plan.after.max(f64::MIN_POSITIVE);
        step_time >= self.slow_step
            || step_time.as_secs_f64() * growth >= self.projected_slow_step.as_secs_f64()
    }
}
