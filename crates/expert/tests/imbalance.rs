//! Load of the busiest rank, and its bound.

use expert::{ExpertId, Load, Map, Shape, Speeds};

fn skewed_load() -> Load {
    let mut load = Load::new(1, 8);
    load.add(&[640, 320, 160, 80, 40, 20, 10, 10]);
    load
}

/// Guards against a bound above what a map reaches, which would hide that the map can
/// be improved.
#[test]
fn min_imbalance_balanced_map() {
    let shape = Shape::with_spare(1, 8, 4, 1, 1);
    let map = Map::balanced(shape.clone(), &skewed_load(), &Speeds::new(4, 1e-6));
    let live = [true; 4];
    let bound = shape.min_imbalance(&skewed_load(), &live).unwrap();
    assert!(bound >= 1.0);
    assert!(bound <= map.imbalance(&skewed_load(), &live).unwrap() + 1e-9);
}

/// Guards against counting the copies on lost ranks: the remaining ranks compute their
/// tokens.
#[test]
fn imbalance_rank_lost() {
    let map = Map::uniform(Shape::with_spare(1, 2, 2, 1, 1));
    assert_eq!(map.rank_slots(0, 0).len(), 2);
    assert!(map.rank_slots(0, 0).contains(&Some(ExpertId(0))));
    let mut load = Load::new(1, 2);
    load.add(&[30, 10]);
    assert_eq!(map.imbalance(&load, &[true, false]), Some(1.0));
    assert_eq!(map.imbalance(&load, &[false, false]), None);
}

/// Guards against figures without meaning before the first counts.
#[test]
fn imbalance_no_tokens() {
    let shape = Shape::with_spare(1, 2, 2, 1, 1);
    let load = Load::new(1, 2);
    assert_eq!(shape.min_imbalance(&load, &[true, true]), None);
    assert_eq!(Map::uniform(shape).imbalance(&load, &[true, true]), None);
}
