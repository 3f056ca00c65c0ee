//! Maps, load estimator and planner.
#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]

use expert::{
    ExpertId, Load, LoadEstimator, LoadEstimatorSettings, Map, MapFault, MoveCost, Planner, Rank,
    Shape, Speeds, Weights,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const COST: MoveCost = MoveCost {
    expert_bytes: 44_000_000,
    store_bytes_per_s: 1e9,
    slowdown: 0.1,
    store_price: 1.0,
    max_plan_bytes: u64::MAX,
};

fn planner(skew: f64, moves: f64) -> Planner {
    Planner {
        weights: Weights { skew, moves },
        cost: COST,
        horizon_windows: 12.0,
    }
}

/// A group with its map, its load and the speeds of its ranks.
#[derive(Clone, Debug)]
struct Case {
    map: Map,
    load: Load,
    speeds: Speeds,
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Case {
        let ranks = 2 + u16::arbitrary(g) % 7;
        let experts = 1 + u16::arbitrary(g) % 24;
        let (layers, spare) = (1 + u16::arbitrary(g) % 3, u16::arbitrary(g) % 3);
        let shape = Shape::with_spare(layers, experts, ranks, spare, 2);
        let mut load = Load::new(layers.into(), experts.into());
        for layer in 0..usize::from(layers) {
            for value in load.layer_mut(layer) {
                *value = f64::from(u16::arbitrary(g) % 1000);
            }
        }
        let mut speeds = Speeds::new(ranks.into(), 1e-4);
        let seconds: Vec<f64> = (0..ranks)
            .map(|_| f64::from(1 + u8::arbitrary(g) % 4))
            .collect();
        speeds.observe(&vec![100.0; ranks.into()], &seconds);
        let mut map = if bool::arbitrary(g) {
            Map::uniform(shape)
        } else {
            Map::balanced(shape, &load, &speeds)
        };
        if spare > 0 && bool::arbitrary(g) {
            speeds.set_lost(0);
            map.clear_rank(Rank(0));
        }
        Case { map, load, speeds }
    }
}

impl Case {
    /// Whether the live ranks have a slot for each expert.
    fn has_enough_slots(&self) -> bool {
        let live = self.speeds.live().iter().filter(|live| **live).count();
        live * self.map.shape().slots_per_rank() >= self.map.shape().experts()
    }
}

fn check(property: fn(Case) -> bool, seed: u64) {
    QuickCheck::new()
        .tests(1000)
        .rng(Gen::from_size_and_seed(50, seed))
        .quickcheck(property);
}

#[test]
fn plan_every_expert_has_a_copy() {
    // A plan without a copy of some expert would stop the group or make it
    // compute tokens with the wrong weights.
    fn property(case: Case) -> bool {
        let plan = planner(4.0, 1.0).plan(&case.map, &case.load, &case.speeds);
        let faults = plan.map.check(case.speeds.live());
        let missing = faults
            .iter()
            .filter(|fault| matches!(fault, MapFault::Missing { .. }))
            .count();
        faults.len() == missing
            && missing as u64 == plan.unplaced
            && (missing == 0 || !case.has_enough_slots())
    }
    check(property, 1);
}

#[test]
fn plan_never_worse_than_unchanged() {
    fn property(case: Case) -> bool {
        let plan = planner(4.0, 1.0).plan(&case.map, &case.load, &case.speeds);
        let slack = 1e-9 * plan.before;
        // Without a slot for each expert, part of the load is assigned to no rank.
        let bounded = plan.unplaced > 0 || plan.ideal <= plan.after + slack;
        plan.after <= plan.before + slack && bounded
    }
    check(property, 2);
}

#[test]
fn plan_pays_off_as_predicted() {
    fn property(case: Case) -> bool {
        let planner = planner(1.0, 4.0);
        let plan = planner.plan(&case.map, &case.load, &case.speeds);
        let gain = planner.weights.skew * planner.horizon_windows * (plan.before - plan.after);
        let paid_loads = u32::try_from(plan.loads.saturating_sub(plan.repairs)).unwrap();
        let price = planner.weights.moves * COST.seconds() * f64::from(paid_loads);
        gain >= price - 1e-6 * plan.before
    }
    check(property, 3);
}

#[test]
fn plan_larger_weight_of_moves() {
    // With the same map and load, a larger weight of moves must not lead to a
    // shorter step time than a larger weight of skew.
    fn property(case: Case) -> bool {
        let skew_first = planner(4.0, 1.0).plan(&case.map, &case.load, &case.speeds);
        let moves_first = planner(1.0, 4.0).plan(&case.map, &case.load, &case.speeds);
        moves_first.after >= skew_first.after - 1e-9 * skew_first.before
    }
    check(property, 4);
}

#[test]
fn plan_bytes_limited() {
    fn property(case: Case) -> bool {
        let mut planner = planner(4.0, 1.0);
        planner.cost.max_plan_bytes = 3 * COST.expert_bytes;
        let plan = planner.plan(&case.map, &case.load, &case.speeds);
        plan.loads <= plan.repairs.max(3)
    }
    check(property, 5);
}

#[test]
fn plan_other_dimensions() {
    // The coordinator gets a report with the dimensions of another model. The
    // group must stay on its map.
    let map = Map::uniform(Shape::with_spare(2, 8, 4, 1, 2));
    let plan = planner(4.0, 1.0).plan(&map, &Load::new(3, 8), &Speeds::new(4, 1e-4));
    assert_eq!(plan.map, map);
    assert!(!plan.is_change);
}

#[test]
fn plan_rank_lost() {
    // A host with the only copies of some experts is lost. No step can run
    // until another rank holds them, so they are placed at any cost.
    let mut map = Map::uniform(Shape::with_spare(2, 16, 4, 1, 1));
    let mut load = Load::new(2, 16);
    load.add(&[100; 32]);
    let mut speeds = Speeds::new(4, 1e-4);
    speeds.set_lost(2);
    map.clear_rank(Rank(2));
    let plan = planner(0.0, 1e9).plan(&map, &load, &speeds);
    assert!(plan.repairs > 0);
    assert_eq!(plan.unplaced, 2, "15 slots are left for 16 experts");
}

#[test]
fn plan_zero_weight_of_skew() {
    // While experts are missing that only lost ranks held, no other expert may
    // compete with them for the limited bandwidth of the weight store.
    fn property(case: Case) -> bool {
        let plan = planner(0.0, 1.0).plan(&case.map, &case.load, &case.speeds);
        plan.loads == plan.repairs
    }
    check(property, 9);
}

#[test]
fn plan_relieves_straggler() {
    // One rank slows down, and all others wait for it in every step.
    let mut load = Load::new(1, 32);
    load.add(&[100; 32]);
    let mut speeds = Speeds::new(4, 1e-3);
    let map = Map::balanced(Shape::with_spare(1, 32, 4, 1, 1), &load, &speeds);
    speeds.observe(&[1.0; 4], &[1.0, 1.0, 1.0, 4.0]);
    let plan = planner(4.0, 0.01).plan(&map, &load, &speeds);
    assert!(plan.after < 0.8 * plan.before);
}

/// Guards against a rank that is twelve times slower and keeps its experts, so
/// that all others wait for it in every step.
#[test]
fn plan_relieves_very_slow_rank() {
    let mut load = Load::new(1, 96);
    load.add(&[10_000; 96]);
    let mut speeds = Speeds::new(12, 1e-6);
    let map = Map::round_robin(Shape::new(1, 96, 11, (0..12).collect()));
    speeds.report_slowdown(5, 12.0);
    let plan = planner(1.0, 0.01).plan_with_limit(&map, &load, &speeds, 4);
    assert!(plan.after < 1.1 * plan.ideal);
}

#[test]
fn observe_equal_times() {
    // Some engines report the time of the slowest rank for all ranks. A rank
    // with few tokens must not be considered slow, or it would never get more.
    let mut speeds = Speeds::new(3, 1e-4);
    for _ in 0..10 {
        speeds.observe(&[900.0, 100.0, 100.0], &[0.1, 0.1, 0.1]);
    }
    assert!((0..3).all(|rank| (speeds.relative(rank) - 1.0).abs() < 1e-9));
}

#[test]
fn check_each_fault() {
    let shape = Shape::with_spare(1, 2, 2, 1, 1);
    assert_eq!(Map::empty(shape.clone()).check(&[true, true]).len(), 2);
    let map = Map::uniform(shape);
    assert!(map.check(&[true, true]).is_empty());
    assert_eq!(
        Map::uniform(Shape::with_spare(1, 2, 2, 0, 1)).check(&[true, false]),
        [MapFault::Missing {
            layer: 0,
            expert: ExpertId(1)
        }]
    );
}

#[test]
fn from_bytes_any_bytes() {
    // A rank must refuse a corrupt map without a panic.
    fn property(mut bytes: Vec<u8>, position: usize, value: u8) -> bool {
        let _ = Map::from_bytes(bytes.clone());
        bytes = Map::uniform(Shape::with_spare(2, 8, 4, 1, 2))
            .to_bytes()
            .to_vec();
        let position = position % bytes.len();
        bytes[position] = value;
        if let Ok(map) = Map::from_bytes(bytes) {
            let _ = map.check(&[true; 4]);
        }
        true
    }
    QuickCheck::new()
        .tests(2000)
        .rng(Gen::from_size_and_seed(100, 6))
        .quickcheck(property as fn(Vec<u8>, usize, u8) -> bool);
}

#[test]
fn forecast_follows_drift() {
    let mut estimator = LoadEstimator::new(1, 2, LoadEstimatorSettings::default());
    let mut load = Load::new(1, 2);
    for window in 0..20_u32 {
        load = Load::new(1, 2);
        load.add(&[1000 + 20 * window, 1000 - 20 * window]);
        estimator.observe(&load);
    }
    assert!(estimator.forecast().layer(0)[0] > load.layer(0)[0]);
}

#[test]
fn forecast_after_popularity_flip() {
    // Popularity flips abruptly, for instance with the traffic of a new client
    // account. An estimate that adapts slowly would keep the group skewed for
    // an hour.
    let mut estimator = LoadEstimator::new(1, 2, LoadEstimatorSettings::default());
    for _ in 0..10 {
        let mut load = Load::new(1, 2);
        load.add(&[900, 100]);
        estimator.observe(&load);
    }
    let mut load = Load::new(1, 2);
    load.add(&[100, 900]);
    estimator.observe(&load);
    assert!(estimator.forecast().layer(0)[1] > 800.0);
}
