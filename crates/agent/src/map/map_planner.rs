//! Plans the expert map of a group.

use std::collections::BTreeMap;
use std::time::Duration;

use expert::{
    Load, LoadEstimator, LoadEstimatorSettings, Map, MapFault, Plan, Planner, Shape, Speeds,
    TokenThreshold, Weights,
};
use note::Group;
use wire::proto::RankWindow;

use crate::map::gathers::add_tokens;
use crate::map::map_metrics::Balance;
use crate::map::participants::RankPlacement;
use crate::map::{InitialMap, MapSettings};

/// Assumed seconds per token and layer before the first measurement.
const INITIAL_SECONDS_PER_TOKEN: f64 = 1e-6;

/// Collects the windows of all ranks and plans the next map.
#[derive(Debug)]
pub(crate) struct MapPlanner {
    shape: Shape,
    estimate: LoadEstimator,
    speeds: Speeds,
    /// Windows of the ranks since the last plan.
    windows: BTreeMap<u32, RankWindow>,
    /// Tokens of earlier windows that were too few to be used.
    pending_tokens: Vec<u32>,
    threshold: TokenThreshold,
    /// A map that can't be repaired with the live ranks.
    unrepairable: Option<Map>,
}

impl MapPlanner {
    /// A planner for a group; `None` if its dimensions are out of range.
    pub fn new(group: &Group, placement: RankPlacement) -> Option<Self> {
        let narrow = |value: u32| u16::try_from(value).ok();
        let (layers, experts) = (narrow(group.layers)?, narrow(group.experts)?);
        let slots = narrow(group.experts.div_ceil(group.ranks.max(1)) + group.spare_slots)?;
        let ranks = placement.hosts.len();
        let settings = LoadEstimatorSettings::default();
        let mut planner = MapPlanner {
            shape: Shape::new(layers, experts, slots, placement.hosts.clone()),
            estimate: LoadEstimator::new(layers.into(), experts.into(), settings),
            speeds: Speeds::new(ranks, INITIAL_SECONDS_PER_TOKEN),
            windows: BTreeMap::new(),
            pending_tokens: Vec::new(),
            threshold: TokenThreshold::default(),
            unrepairable: None,
        };
        planner.set_placement(placement);
        Some(planner)
    }

    /// Updates which ranks are live and on which hosts they run.
    pub fn set_placement(&mut self, placement: RankPlacement) {
        for (rank, live) in placement.live.into_iter().enumerate() {
            if live {
                self.speeds.set_live(rank);
            } else {
                self.speeds.set_lost(rank);
            }
        }
        let empty = Map::empty(self.shape.clone()).with_hosts(placement.hosts);
        if let Some(empty) = empty {
            self.shape = empty.shape().clone();
        }
        self.windows.clear();
        self.pending_tokens.clear();
        self.unrepairable = None;
    }

    /// Number of ranks that have reported counts since the last plan.
    pub fn counted(&self) -> usize {
        self.windows.len()
    }

    /// Whether a rank has reported counts since the last plan.
    pub fn has_counted(&self, rank: u32) -> bool {
        self.windows.contains_key(&rank)
    }

    /// The last step that any rank reported.
    pub fn step(&self) -> Option<u64> {
        self.windows.values().map(|window| window.step).max()
    }

    /// Version of the map in use at all ranks, if it is the same.
    pub fn version(&self) -> Option<u64> {
        let mut versions = self.windows.values().map(|window| window.map_version);
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }

    /// Whether the planner has the dimensions of this group.
    pub fn is_for(&self, group: &Group) -> bool {
        let layers = usize::try_from(group.layers) == Ok(self.shape.layers());
        let experts = usize::try_from(group.experts) == Ok(self.shape.experts());
        let slots = group.experts.div_ceil(group.ranks.max(1)) + group.spare_slots;
        let ranks = usize::try_from(group.ranks) == Ok(self.shape.ranks());
        layers && experts && ranks && usize::try_from(slots) == Ok(self.shape.slots_per_rank())
    }

    /// Adds the windows of some ranks. A further window of a rank extends its previous
    /// one.
    pub fn add_windows(&mut self, windows: Vec<RankWindow>) {
        for mut window in windows {
            if let Some(previous) = self.windows.remove(&window.rank) {
                add_tokens(&mut window.tokens, &previous.tokens);
            }
            self.windows.insert(window.rank, window);
        }
    }

    /// Whether every live rank has reported counts since the last plan.
    pub fn is_complete(&self) -> bool {
        let mut ranks = self.speeds.live().iter().zip(0..);
        ranks.all(|(live, rank)| !*live || self.windows.contains_key(&rank))
    }

    /// Updates the load estimate and the speeds from the windows of all ranks,
    /// which were counted on `current`.
    pub fn observe(&mut self, current: Option<&Map>, initial: InitialMap) {
        let windows = std::mem::take(&mut self.windows);
        let mut tokens = std::mem::take(&mut self.pending_tokens);
        for window in windows.values() {
            add_tokens(&mut tokens, &window.tokens);
        }
        if self
            .threshold
            .admits(tokens.iter().copied().map(u64::from).sum())
        {
            let current = self.current_map(current, initial);
            let mut load = Load::new(self.shape.layers(), self.shape.experts());
            load.add(&tokens);
            self.estimate.observe(&load);
            let (tokens, seconds) = tokens_and_seconds(&current, &load, &windows);
            self.speeds.observe(&tokens, &seconds);
        } else {
            self.pending_tokens = tokens;
        }
        for window in windows.values() {
            let slowdown = window
                .slowdown_permille
                .map(|permille| f64::from(permille) / 1e3);
            if let (Some(slowdown), Ok(rank)) = (slowdown, usize::try_from(window.rank)) {
                self.speeds.report_slowdown(rank, slowdown);
            }
        }
    }

    /// Load of the busiest rank over the mean under `current`, and its lower bound, for
    /// the estimated demand; `None` before the first counts.
    pub fn balance(&self, current: Option<&Map>, initial: InitialMap) -> Option<Balance> {
        let (load, live) = (self.estimate.forecast(), self.speeds.live());
        Some(Balance {
            imbalance: self.current_map(current, initial).imbalance(&load, live)?,
            min_imbalance: self.shape.min_imbalance(&load, live)?,
        })
    }

    /// The next map, if a change pays off.
    ///
    /// The plan starts from `current`, the newest committed map. If there is none,
    /// or it is for a group of other dimensions, it starts from the initial map of
    /// the engines.
    pub fn plan(&self, current: Option<&Map>, group: &Group, cfg: &MapSettings) -> Option<Plan> {
        if self.estimate.windows() == 0 {
            return None;
        }
        let weights = Weights {
            skew: group.weights.skew,
            moves: group.weights.moves,
        };
        self.plan_with(&self.current_map(current, cfg.initial_map), weights, cfg)
    }

    /// The current map with a new copy of every expert that only lost ranks held;
    /// `None` if no expert is missing or there is no such map.
    ///
    /// Nothing else is moved: the bandwidth of the weight store is limited, and
    /// without these experts answers are wrong.
    pub fn repair(&mut self, current: Option<&Map>, cfg: &MapSettings) -> Option<Plan> {
        let current = self.current_map(current, cfg.initial_map);
        let faults = current.check(self.speeds.live());
        let mut missing = faults
            .iter()
            .filter(|fault| matches!(fault, MapFault::Missing { .. }));
        missing.next()?;
        if self.unrepairable.as_ref() == Some(&current) {
            return None;
        }
        let no_balancing = Weights {
            skew: 0.0,
            moves: 1.0,
        };
        let plan = self.plan_with(&current, no_balancing, cfg);
        if plan.is_none() {
            log::error!("no free slot for experts that only lost ranks held");
            self.unrepairable = Some(current);
        }
        plan
    }

    fn current_map(&self, current: Option<&Map>, initial: InitialMap) -> Map {
        let hosts = self.shape.hosts().to_vec();
        current
            .and_then(|map| map.with_hosts(hosts))
            .filter(|map| *map.shape() == self.shape)
            .unwrap_or_else(|| match initial {
                InitialMap::Replicated => Map::uniform(self.shape.clone()),
                InitialMap::Unreplicated => Map::round_robin(self.shape.clone()),
            })
    }

    fn plan_with(&self, current: &Map, weights: Weights, cfg: &MapSettings) -> Option<Plan> {
        let planner = Planner {
            weights,
            cost: cfg.cost,
            horizon_windows: f64::from(cfg.horizon_windows),
        };
        let load = self.estimate.forecast();
        let plan = planner.plan_with_limit(current, &load, &self.speeds, cfg.max_new_experts);
        plan.is_change.then_some(plan)
    }
}

/// Tokens that the map assigns to each rank, and seconds that the rank was busy.
fn tokens_and_seconds(
    map: &Map,
    load: &Load,
    windows: &BTreeMap<u32, RankWindow>,
) -> (Vec<f64>, Vec<f64>) {
    let tokens = map.tokens_by_rank(load);
    let ranks = 0..u32::try_from(tokens.len()).unwrap_or_default();
    let step_us = |rank| windows.get(&rank).map_or(0, |window| window.step_us);
    let seconds = ranks.map(|rank| f64::from(step_us(rank)) / 1e6).collect();
    (tokens, seconds)
}

/// Time to load the experts of a plan at the rate of the weight store, doubled
/// because others load from the store at the same time.
pub(crate) fn load_time(plan: &Plan, cfg: &MapSettings) -> Duration {
    let loads = u32::try_from(plan.loads).unwrap_or(u32::MAX);
    let seconds = 2.0 * f64::from(loads) * cfg.cost.load_seconds();
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
