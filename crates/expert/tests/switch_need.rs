//! Loads under which a switch of the map is worth its price.

use expert::{Load, Map, Plan, Shape, SwitchCriteria};
use std::time::Duration;

const NEED: SwitchCriteria = SwitchCriteria {
    slow_step: Duration::from_millis(66),
    projected_slow_step: Duration::from_millis(90),
    min_gain: 0.08,
};

/// A plan that takes the experts' work of a window from `before` to `after`.
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

/// Guards against a switch that comes a window late, since the steps measured
/// right after a change of popularity are still those of before.
#[test]
fn is_met_popularity_changed() {
    let step = Some(Duration::from_millis(62));
    assert!(NEED.should_switch(&plan(0.219, 0.109), step));
}

/// Guards against moving experts while nobody notices that steps differ.
#[test]
fn is_met_quiet_group() {
    let step = Some(Duration::from_millis(35));
    assert!(!NEED.should_switch(&plan(0.219, 0.109), step));
}

/// Guards against switches that save less than they cost.
#[test]
fn is_met_little_gain() {
    let step = Some(Duration::from_millis(200));
    assert!(!NEED.should_switch(&plan(0.100, 0.095), step));
    assert!(!NEED.should_switch(&plan(0.0, 0.0), None));
}

/// Guards against a group on its start map that waits for measured steps.
#[test]
fn is_met_unknown_step() {
    assert!(NEED.should_switch(&plan(1.2, 0.4), None));
}
