//! Selection of the expert moves that pay off.

use crate::search::{Chain, Delta, LayerState, Segment};
use crate::{Load, Map, MoveCost, Plan, Speeds, Weights};

/// Selects the expert moves that pay off.
///
/// A move pays off if the step time that it is expected to save over the
/// horizon, times the weight of skew, exceeds its cost times the weight of
/// moves.
#[derive(Clone, Copy, Debug)]
pub struct Planner {
    /// Weights of step time and of moves.
    pub weights: Weights,
    /// Cost of loading experts.
    pub cost: MoveCost,
    /// Number of windows over which a move is expected to save step time.
    pub horizon_windows: f64,
}

/// The moves found and selected for one layer.
struct LayerPlan<'a> {
    state: LayerState<'a>,
    chain: Chain,
    /// Number of moves of the chain that are selected, from its start.
    selected: usize,
}

impl LayerPlan<'_> {
    /// Selects fewer moves until no rank gets more than `max_new` new experts.
    fn limit_new(&mut self, map: &Map, layer: usize, max_new: usize, delta: &mut Delta) {
        let mut ends: Vec<usize> = self.chain.segments().iter().map(|s| s.end).collect();
        while self.selected > 0 && self.max_new_experts(map, layer, delta) > max_new {
            ends.retain(|end| *end < self.selected);
            self.selected = ends.pop().unwrap_or(self.selected - 1);
        }
    }

    /// Largest number of experts that are new to a rank.
    fn max_new_experts(&self, map: &Map, layer: usize, delta: &mut Delta) -> usize {
        let mut state = self.state.clone();
        for &candidate in &self.chain.moves[..self.selected] {
            state.apply(candidate, delta);
        }
        let mut next = map.clone();
        state.store(&mut next, layer);
        let new = |rank| {
            let before = map.rank_slots(layer, rank);
            let after = next.rank_slots(layer, rank).iter().flatten();
            after
                .filter(|expert| !before.contains(&Some(**expert)))
                .count()
        };
        (0..map.shape().ranks()).map(new).max().unwrap_or_default()
    }
}

impl Planner {
    /// Plans the next map for the expected load and the live ranks.
    ///
    /// Experts that no live rank holds are placed first, at any cost. Then
    /// moves are selected in the order of their gain per loaded expert, as long
    /// as they pay off and [`MoveCost::max_plan_bytes`] allows. If the
    /// dimensions of the load or of the speeds differ from those of the map,
    /// the plan is the unchanged map.
    ///
    /// ```
    /// use expert::{Load, Map, MoveCost, Planner, Shape, Speeds, Weights};
    ///
    /// let map = Map::uniform(Shape::with_spare(1, 4, 2, 1, 1));
    /// let mut load = Load::new(1, 4);
    /// load.add(&[900, 100, 100, 100]);
    /// let planner = Planner {
    ///     weights: Weights { skew: 4.0, moves: 1.0 },
    ///     cost: MoveCost {
    ///         expert_bytes: 44_000_000,
    ///         store_bytes_per_s: 1e9,
    ///         slowdown: 0.1,
    ///         store_price: 1.0,
    ///         max_plan_bytes: u64::MAX,
    ///     },
    ///     horizon_windows: 12.0,
    /// };
    /// let plan = planner.plan(&map, &load, &Speeds::new(2, 1e-3));
    /// assert!(plan.after <= plan.before);
    /// ```
    #[must_use]
    pub fn plan(&self, map: &Map, load: &Load, speeds: &Speeds) -> Plan {
        self.plan_with_limit(map, load, speeds, usize::MAX)
    }

    /// Like [`Planner::plan`], but with at most `max_new` new experts on each
    /// rank in each layer, because some engines accept no more at a time.
    #[must_use]
    pub fn plan_with_limit(&self, map: &Map, load: &Load, speeds: &Speeds, max_new: usize) -> Plan {
        let shape = map.shape();
        let matches = (load.layers(), load.experts()) == (shape.layers(), shape.experts());
        if !matches || speeds.live().len() != shape.ranks() {
            return Plan::unchanged(map);
        }
        let cost = speeds.seconds_per_token();
        let mut delta = Delta::new(cost.len());
        let (mut repairs, mut unplaced) = (0, 0);
        let mut layers = Vec::with_capacity(load.layers());
        for layer in 0..load.layers() {
            let mut state = LayerState::new(map, layer, load.layer(layer), &cost);
            let (placed, not_placed) = state.repair(&mut delta);
            repairs += placed;
            unplaced += not_placed;
            let chain = Chain::search(state.clone(), self.min_saved(), &mut delta);
            layers.push(LayerPlan {
                state,
                chain,
                selected: 0,
            });
        }
        let before = layers.iter().map(|layer| layer.state.slowest().1).sum();
        let ideal = layers.iter().map(|layer| layer.state.ideal_time()).sum();
        self.select(&mut layers, repairs);
        let mut next = map.clone();
        let mut after = 0.0;
        for (index, layer) in layers.iter_mut().enumerate() {
            layer.limit_new(map, index, max_new, &mut delta);
            for &candidate in &layer.chain.moves[..layer.selected] {
                layer.state.apply(candidate, &mut delta);
            }
            after += layer.state.slowest().1;
            layer.state.store(&mut next, index);
        }
        let loads = next.loads_from(map) as u64;
        Plan {
            is_change: next != *map,
            map: next,
            loads,
            repairs,
            unplaced,
            before,
            after,
            ideal,
            cost: self.cost.seconds() * loads_as_f64(loads),
        }
    }

    /// Step time, in seconds, that each loaded expert must save per window to
    /// pay off.
    fn min_saved(&self) -> f64 {
        let cost = self.weights.moves * self.cost.seconds();
        cost / (self.weights.skew * self.horizon_windows).max(f64::MIN_POSITIVE)
    }

    /// Selects segments in the order of their gain per loaded expert while they
    /// pay off and fit the byte limit.
    fn select(&self, layers: &mut [LayerPlan<'_>], repairs: u64) {
        let mut candidates: Vec<(usize, Segment)> = Vec::new();
        for (index, layer) in layers.iter().enumerate() {
            let segments = layer.chain.segments().into_iter();
            candidates.extend(segments.map(|segment| (index, segment)));
        }
        // The gain per load decreases within a layer, so its segments keep their
        // order.
        candidates.sort_by(|a, b| {
            b.1.gain_per_load()
                .total_cmp(&a.1.gain_per_load())
                .then(a.0.cmp(&b.0))
        });
        let mut budget = self.cost.max_plan_loads().saturating_sub(repairs);
        let min_saved = self.min_saved();
        for (index, segment) in candidates {
            let loads = u64::from(segment.loads);
            if segment.gain_per_load() <= min_saved || loads > budget {
                break;
            }
            budget -= loads;
            layers[index].selected = segment.end;
        }
    }
}

#[allow(clippy::cast_precision_loss, reason = "loads are far below 2^53")]
fn loads_as_f64(loads: u64) -> f64 {
    loads as f64
}
