//! Which moves of experts pay.

use crate::search::{Chain, Delta, LayerState, Segment};
use crate::{Load, Map, MoveCost, Plan, Speeds, Weights};

/// Which moves of experts pay.
///
/// A move pays if the step time that it is expected to save over the horizon,
/// times the weight of skew, is more than its cost times the weight of moves.
#[derive(Clone, Copy, Debug)]
pub struct Planner {
    /// Weights from the release note.
    pub weights: Weights,
    /// What loading experts costs.
    pub cost: MoveCost,
    /// Windows over which a move is expected to go on paying.
    pub horizon_windows: f64,
}

/// The search in one layer.
struct LayerPlan<'a> {
    state: LayerState<'a>,
    chain: Chain,
    /// Number of moves of the chain that are taken.
    taken: usize,
}

impl LayerPlan<'_> {
    /// Takes fewer moves, until no rank gets more new experts than it takes.
    fn shorten(&mut self, map: &Map, layer: usize, most_new: usize, delta: &mut Delta) {
        let mut ends: Vec<usize> = self.chain.segments().iter().map(|s| s.end).collect();
        while self.taken > 0 && self.most_new(map, layer, delta) > most_new {
            ends.retain(|end| *end < self.taken);
            self.taken = ends.pop().unwrap_or(self.taken - 1);
        }
    }

    /// Most experts that are new to one rank.
    fn most_new(&self, map: &Map, layer: usize, delta: &mut Delta) -> usize {
        let mut state = self.state.clone();
        for &candidate in &self.chain.moves[..self.taken] {
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
    /// Plans the next map for the load expected and the ranks that run.
    ///
    /// Experts that no live rank holds are placed first and whatever they
    /// cost. Then moves are taken by their gain for each load, as long as
    /// they pay and the plan's bytes allow. A load or speeds of other
    /// dimensions than the map's change nothing.
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

    /// As [`Planner::plan`], with at most `most_new` experts new to a rank in
    /// each layer, as some engines take no more at a time.
    #[must_use]
    pub fn plan_with_limit(
        &self,
        map: &Map,
        load: &Load,
        speeds: &Speeds,
        most_new: usize,
    ) -> Plan {
        let shape = map.shape();
        let fits = (load.layers(), load.experts()) == (shape.layers(), shape.experts());
        if !fits || speeds.live().len() != shape.ranks() {
            return Plan::unchanged(map);
        }
        let cost = speeds.seconds_per_token();
        let mut delta = Delta::new(cost.len());
        let (mut repairs, mut homeless) = (0, 0);
        let mut layers = Vec::with_capacity(load.layers());
        for layer in 0..load.layers() {
            let mut state = LayerState::new(map, layer, load.layer(layer), &cost);
            let (placed, left) = state.repair(&mut delta);
            repairs += placed;
            homeless += left;
            let chain = Chain::search(state.clone(), self.least_saved(), &mut delta);
            layers.push(LayerPlan {
                state,
                chain,
                taken: 0,
            });
        }
        let before = layers.iter().map(|layer| layer.state.slowest().1).sum();
        let even = layers.iter().map(|layer| layer.state.even_time()).sum();
        self.take(&mut layers, repairs);
        let mut next = map.clone();
        let mut after = 0.0;
        for (index, layer) in layers.iter_mut().enumerate() {
            layer.shorten(map, index, most_new, &mut delta);
            for &candidate in &layer.chain.moves[..layer.taken] {
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
            unplaced: homeless,
            before,
            after,
            ideal: even,
            cost: self.cost.seconds() * loads_as_f64(loads),
        }
    }

    /// Least step time that a load must save in each window to pay.
    fn least_saved(&self) -> f64 {
        let cost = self.weights.moves * self.cost.seconds();
        cost / (self.weights.skew * self.horizon_windows).max(f64::MIN_POSITIVE)
    }

    /// Takes segments by gain for each load while they pay.
    fn take(&self, layers: &mut [LayerPlan<'_>], repairs: u64) {
        let mut offers: Vec<(usize, Segment)> = Vec::new();
        for (index, layer) in layers.iter().enumerate() {
            let segments = layer.chain.segments().into_iter();
            offers.extend(segments.map(|segment| (index, segment)));
        }
        // Within a layer the ratio falls, so its segments stay in order.
        offers.sort_by(|a, b| b.1.ratio().total_cmp(&a.1.ratio()).then(a.0.cmp(&b.0)));
        let mut budget = self.cost.max_plan_loads().saturating_sub(repairs);
        let least = self.least_saved();
        for (index, segment) in offers {
            let loads = u64::from(segment.loads);
            if segment.ratio() <= least || loads > budget {
                break;
            }
            budget -= loads;
            layers[index].taken = segment.end;
        }
    }
}

#[allow(clippy::cast_precision_loss, reason = "loads are far below 2^53")]
fn loads_as_f64(loads: u64) -> f64 {
    loads as f64
}
