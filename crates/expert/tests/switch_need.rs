//! Plans for which a switch of the map is worthwhile.

use expert::{Load, Map, Plan, Shape, SwitchCriteria};
use std::time::Duration;

const CRITERIA: SwitchCriteria = SwitchCriteria {
    slow_step: Duration::from_millis(66),
    projected_slow_step: Duration::from_millis(90),
    min_gain: 0.08,
};

/// A plan that changes the step time of a window from `before` to `after`, in
/// seconds.
fn plan(before: f64, after: f64) -> Plan {
    let map = Map::balanced(
        Shape::with_spare(1, 4, 2, 1, 1),
        &Load::new(1, 4),
        &expert::Speeds::new(2, 1e-3),
    );
    Plan {
        map,
        is_change: true,
        loads: 4,
        repairs: 0,
        unplaced: 0,
        before,
        after,
        ideal: after,
        cost: 0.0,
    }
}

/// Guards against a switch that is one window late because the steps measured
/// right after a change of popularity still include those before it.
#[test]
fn should_switch_popularity_changed() {
    let step = Some(Duration::from_millis(62));
    assert!(CRITERIA.should_switch(&plan(0.219, 0.109), step));
}

/// Guards against moving experts while steps are too fast for clients to notice
/// a difference.
#[test]
fn should_switch_fast_steps() {
    let step = Some(Duration::from_millis(35));
    assert!(!CRITERIA.should_switch(&plan(0.219, 0.109), step));
}

/// Guards against switches that save less than they cost.
#[test]
fn should_switch_small_gain() {
    let step = Some(Duration::from_millis(200));
    assert!(!CRITERIA.should_switch(&plan(0.100, 0.095), step));
    assert!(!CRITERIA.should_switch(&plan(0.0, 0.0), None));
}

/// Guards against a group that stays on its initial map until steps have been
/// measured.
#[test]
fn should_switch_unknown_step_time() {
    assert!(CRITERIA.should_switch(&plan(1.2, 0.4), None));
}
