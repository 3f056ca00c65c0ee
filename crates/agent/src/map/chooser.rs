//! Which map the group should run on.

use std::collections::BTreeMap;

use expert::{Estimate, EstimateSettings, Load, Map, Planner, Shape, Speeds, Weights};
use note::Group;
use wire::proto::RankWindow;

use crate::map::MapSettings;

/// Seconds for a token of a layer before any is known.
const FIRST_SECONDS_PER_TOKEN: f64 = 1e-6;

/// Gathers the windows of all ranks and plans.
#[derive(Debug)]
pub(crate) struct Chooser {
    shape: Shape,
    estimate: Estimate,
    speeds: Speeds,
    /// Windows of the ranks, since the last plan.
    windows: BTreeMap<u32, RankWindow>,
}

impl Chooser {
    /// For a group of this size; `hosts` says which agent each rank is with.
    pub fn new(group: &Group, hosts: Vec<u16>) -> Option<Self> {
        let narrow = |value: u32| u16::try_from(value).ok();
        let (layers, experts) = (narrow(group.layers)?, narrow(group.experts)?);
        let slots = narrow(group.experts.div_ceil(group.ranks.max(1)) + group.spare_slots)?;
        let ranks = hosts.len();
        let settings = EstimateSettings::default();
        Some(Chooser {
            shape: Shape::new(layers, experts, slots, hosts),
            estimate: Estimate::new(layers.into(), experts.into(), settings),
            speeds: Speeds::new(ranks, FIRST_SECONDS_PER_TOKEN),
            windows: BTreeMap::new(),
        })
    }

    /// Whether it is for a group of this size.
    pub fn is_for(&self, group: &Group) -> bool {
        let layers = usize::try_from(group.layers) == Ok(self.shape.layers());
        let experts = usize::try_from(group.experts) == Ok(self.shape.experts());
        let slots = group.experts.div_ceil(group.ranks.max(1)) + group.spare_slots;
        let same = usize::try_from(group.ranks) == Ok(self.shape.ranks());
        layers && experts && same && usize::try_from(slots) == Ok(self.shape.slots())
    }

    /// Takes in what ranks counted.
    pub fn take(&mut self, windows: Vec<RankWindow>) {
        for window in windows {
            self.windows.insert(window.rank, window);
        }
    }

    /// The next map, if every rank has counted and a change pays.
    ///
    /// It starts from the newest committed map, `present`; before the first,
    /// or if that is for a group of another size, from the one that engines
    /// start with.
    pub fn plan(&mut self, present: Option<&Map>, group: &Group, cfg: &MapSettings) -> Option<Map> {
        let uniform = Map::uniform(self.shape.clone());
        let present = present
            .filter(|map| *map.shape() == self.shape)
            .unwrap_or(&uniform);
        if self.windows.len() < self.shape.ranks() {
            return None;
        }
        let windows = std::mem::take(&mut self.windows);
        let mut load = Load::new(self.shape.layers(), self.shape.experts());
        for window in windows.values() {
            load.add(&window.tokens);
        }
        self.estimate.observe(&load);
        let (tokens, seconds) = by_rank(present, &load, &windows);
        self.speeds.observe(&tokens, &seconds);
        let planner = Planner {
            weights: Weights {
                skew: group.weights.skew,
                moves: group.weights.moves,
            },
            cost: cfg.cost,
            horizon: f64::from(cfg.horizon),
        };
        let plan = planner.plan(present, &self.estimate.forecast(), &self.speeds);
        plan.is_change.then_some(plan.map)
    }
}

/// Tokens that the map gives each rank, and seconds that it was busy.
fn by_rank(map: &Map, load: &Load, windows: &BTreeMap<u32, RankWindow>) -> (Vec<f64>, Vec<f64>) {
    let tokens = map.tokens_by_rank(load);
    let seconds = windows
        .values()
        .map(|window| f64::from(window.step_us) / 1e6)
        .collect();
    (tokens, seconds)
}
