//! Which map the group should run on.

use std::collections::BTreeMap;

use std::time::Duration;

use expert::{
    Load, LoadEstimator, LoadEstimatorSettings, Map, MapFault, Plan, Planner, Shape, Speeds,
    Weights,
};
use note::Group;
use wire::proto::RankWindow;

use crate::map::party::PartyRanks;
use crate::map::{MapSettings, StartMap};

/// Seconds for a token of a layer before any is known.
const FIRST_SECONDS_PER_TOKEN: f64 = 1e-6;

/// Gathers the windows of all ranks and plans.
#[derive(Debug)]
pub(crate) struct Chooser {
    shape: Shape,
    estimate: LoadEstimator,
    speeds: Speeds,
    /// Windows of the ranks, since the last plan.
    windows: BTreeMap<u32, RankWindow>,
    /// A map that can't be repaired with the ranks that step.
    hopeless: Option<Map>,
}

impl Chooser {
    /// For a group of this size.
    pub fn new(group: &Group, party: PartyRanks) -> Option<Self> {
        let narrow = |value: u32| u16::try_from(value).ok();
        let (layers, experts) = (narrow(group.layers)?, narrow(group.experts)?);
        let slots = narrow(group.experts.div_ceil(group.ranks.max(1)) + group.spare_slots)?;
        let ranks = party.hosts.len();
        let settings = LoadEstimatorSettings::default();
        let mut chooser = Chooser {
            shape: Shape::new(layers, experts, slots, party.hosts.clone()),
            estimate: LoadEstimator::new(layers.into(), experts.into(), settings),
            speeds: Speeds::new(ranks, FIRST_SECONDS_PER_TOKEN),
            windows: BTreeMap::new(),
            hopeless: None,
        };
        chooser.set_party(party);
        Some(chooser)
    }

    /// Ranks were lost, came back or have moved to other hosts.
    pub fn set_party(&mut self, party: PartyRanks) {
        for (rank, live) in party.live.into_iter().enumerate() {
            if live {
                self.speeds.set_live(rank);
            } else {
                self.speeds.set_lost(rank);
            }
        }
        let bare = Map::empty(self.shape.clone()).with_hosts(party.hosts);
        if let Some(bare) = bare {
            self.shape = bare.shape().clone();
        }
        self.windows.clear();
        self.hopeless = None;
    }

    /// Ranks that have counted since the last plan.
    pub fn counted(&self) -> usize {
        self.windows.len()
    }

    /// The last step that any rank told of.
    pub fn step(&self) -> Option<u64> {
        self.windows.values().map(|window| window.step).max()
    }

    /// Version of the map on which the ranks counted, if all did on one.
    pub fn version(&self) -> Option<u64> {
        let mut versions = self.windows.values().map(|window| window.map_version);
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }

    /// Whether it is for a group of this size.
    pub fn is_for(&self, group: &Group) -> bool {
        let layers = usize::try_from(group.layers) == Ok(self.shape.layers());
        let experts = usize::try_from(group.experts) == Ok(self.shape.experts());
        let slots = group.experts.div_ceil(group.ranks.max(1)) + group.spare_slots;
        let same = usize::try_from(group.ranks) == Ok(self.shape.ranks());
        layers && experts && same && usize::try_from(slots) == Ok(self.shape.slots_per_rank())
    }

    /// Takes in what ranks counted.
    pub fn take(&mut self, windows: Vec<RankWindow>) {
        for window in windows {
            self.windows.insert(window.rank, window);
        }
    }

    /// Whether every rank that steps has counted since the last look.
    pub fn is_complete(&self) -> bool {
        let mut ranks = self.speeds.live().iter().zip(0..);
        ranks.all(|(live, rank)| !*live || self.windows.contains_key(&rank))
    }

    /// Learns from the windows of all ranks, counted on `present`.
    pub fn observe(&mut self, present: Option<&Map>, start: StartMap) {
        let present = self.present(present, start);
        let windows = std::mem::take(&mut self.windows);
        let mut load = Load::new(self.shape.layers(), self.shape.experts());
        for window in windows.values() {
            load.add(&window.tokens);
        }
        self.estimate.observe(&load);
        let (tokens, seconds) = by_rank(&present, &load, &windows);
        self.speeds.observe(&tokens, &seconds);
        for window in windows.values() {
            let slowdown = window.slowdown_permille.map(|told| f64::from(told) / 1e3);
            if let (Some(slowdown), Ok(rank)) = (slowdown, usize::try_from(window.rank)) {
                self.speeds.report_slowdown(rank, slowdown);
            }
        }
    }

    /// The next map, if a change pays.
    ///
    /// It starts from the newest committed map, `present`; before the first,
    /// or if that is for a group of another size, from the one that engines
    /// start with.
    pub fn plan(&self, present: Option<&Map>, group: &Group, cfg: &MapSettings) -> Option<Plan> {
        if self.estimate.windows() == 0 {
            return None;
        }
        let weights = Weights {
            skew: group.weights.skew,
            moves: group.weights.moves,
        };
        self.planned(&self.present(present, cfg.start), weights, cfg)
    }

    /// The map that has a copy again of every expert that only lost ranks
    /// held, and is the present one otherwise; `None` if there is none.
    ///
    /// Nothing else is moved: the weight store gives out so many bytes a
    /// second and no more, and without these experts answers are wrong.
    pub fn repair(&mut self, present: Option<&Map>, cfg: &MapSettings) -> Option<Plan> {
        let present = self.present(present, cfg.start);
        let faults = present.check(self.speeds.live());
        let mut missing = faults
            .iter()
            .filter(|fault| matches!(fault, MapFault::Missing { .. }));
        missing.next()?;
        if self.hopeless.as_ref() == Some(&present) {
            return None;
        }
        let nothing_else = Weights {
            skew: 0.0,
            moves: 1.0,
        };
        let plan = self.planned(&present, nothing_else, cfg);
        if plan.is_none() {
            log::error!("no slot is left for experts that lost ranks held");
            self.hopeless = Some(present);
        }
        plan
    }

    fn present(&self, present: Option<&Map>, start: StartMap) -> Map {
        let hosts = self.shape.hosts().to_vec();
        present
            .and_then(|map| map.with_hosts(hosts))
            .filter(|map| *map.shape() == self.shape)
            .unwrap_or_else(|| match start {
                StartMap::Copies => Map::uniform(self.shape.clone()),
                StartMap::Bare => Map::round_robin(self.shape.clone()),
            })
    }

    fn planned(&self, present: &Map, weights: Weights, cfg: &MapSettings) -> Option<Plan> {
        let planner = Planner {
            weights,
            cost: cfg.cost,
            horizon_windows: f64::from(cfg.horizon),
        };
        let load = self.estimate.forecast();
        let plan = planner.plan_with_limit(present, &load, &self.speeds, cfg.most_new);
        plan.is_change.then_some(plan)
    }
}

/// Tokens that the map gives each rank, and seconds that it was busy.
fn by_rank(map: &Map, load: &Load, windows: &BTreeMap<u32, RankWindow>) -> (Vec<f64>, Vec<f64>) {
    let tokens = map.tokens_by_rank(load);
    let ranks = 0..u32::try_from(tokens.len()).unwrap_or_default();
    let step_us = |rank| windows.get(&rank).map_or(0, |window| window.step_us);
    let seconds = ranks.map(|rank| f64::from(step_us(rank)) / 1e6).collect();
    (tokens, seconds)
}

/// Time to load what a plan asks for, at the rate of the weight store and with
/// as much again for what others load from it.
pub(crate) fn loading(plan: &Plan, cfg: &MapSettings) -> Duration {
    let loads = u32::try_from(plan.loads).unwrap_or(u32::MAX);
    let seconds = 2.0 * f64::from(loads) * cfg.cost.load_seconds();
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
