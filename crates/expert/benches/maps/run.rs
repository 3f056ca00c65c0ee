//! Run of one policy over one day.

use crate::policy::Policy;
use crate::scenario::Scenario;
use crate::score::Score;
use crate::trace::{Trace, WINDOWS};
use expert::{Load, LoadEstimator, LoadEstimatorSettings, Map, MoveCost, Planner, Shape, Speeds};
use std::time::Instant;

/// Number of experts per layer.
const EXPERTS: u16 = 128;

/// Seconds that the experts compute in an average window of 300 s.
const BUSY_SECONDS: f64 = 150.0;

/// Seed of every trace.
const SEED: u64 = 20_261_203;

/// Cost of loading an expert of 44 MB at 1 GB/s.
const COST: MoveCost = MoveCost {
    expert_bytes: 44_000_000,
    store_bytes_per_s: 1e9,
    slowdown: 0.1,
    store_price: 1.0,
    max_plan_bytes: 300_000_000_000,
};

/// Number of windows over which a move is expected to save step time: one hour.
const HORIZON_WINDOWS: f64 = 12.0;

/// Run of one policy over one day.
pub struct Run {
    policy: Policy,
    scenario: Scenario,
    planner: Planner,
    estimator: LoadEstimator,
    speeds: Speeds,
    map: Map,
    first_map: Map,
    seconds_per_token: f64,
}

impl Run {
    /// Runs the whole day.
    pub fn run_day(policy: Policy, scenario: Scenario, ranks: u16, layers: u16) -> Score {
        let mut trace = Trace::new(scenario, layers.into(), EXPERTS.into(), SEED);
        let first = trace.next(0);
        let mut run = Run::new(policy, scenario, ranks, layers, &first);
        let mut score = Score::new(COST);
        run.measure(0, &first, &mut score);
        for window in 1..WINDOWS {
            let start = Instant::now();
            let next = run.plan(window);
            score.add_plan(start.elapsed());
            run.switch(next, &mut score);
            let load = trace.next(window);
            run.measure(window, &load, &mut score);
        }
        score
    }

    fn new(policy: Policy, scenario: Scenario, ranks: u16, layers: u16, first: &Load) -> Run {
        let shape = Shape::with_spare(layers, EXPERTS, ranks, 1, 8);
        let tokens: f64 = (0..first.layers())
            .flat_map(|layer| first.layer(layer))
            .sum();
        let seconds_per_token = BUSY_SECONDS * f64::from(ranks) / tokens;
        let speeds = Speeds::new(ranks.into(), seconds_per_token);
        let map = Map::balanced(shape, first, &speeds);
        Run {
            policy,
            scenario,
            planner: Planner {
                weights: policy.weights(),
                cost: COST,
                horizon_windows: HORIZON_WINDOWS,
            },
            estimator: LoadEstimator::new(
                layers.into(),
                EXPERTS.into(),
                LoadEstimatorSettings::default(),
            ),
            speeds,
            first_map: map.clone(),
            map,
            seconds_per_token,
        }
    }

    /// The map for `window`, planned from the load of earlier windows. Whether a
    /// rank is live in `window` is known at once from its connection.
    fn plan(&mut self, window: usize) -> Map {
        let mut has_returned = false;
        for rank in 0..self.map.shape().ranks() {
            let was_live = self.scenario.speed(rank, window - 1).is_some();
            let is_live = self.scenario.speed(rank, window).is_some();
            if was_live && !is_live {
                self.speeds.set_lost(rank);
                self.map.clear_rank(expert::Rank(rank as u16));
            }
            if is_live && !was_live {
                self.speeds.set_live(rank);
                has_returned = true;
            }
        }
        if self.policy == Policy::Static && has_returned {
            return self.first_map.clone();
        }
        let forecast = self.estimator.forecast();
        if self.policy == Policy::Full {
            return Map::balanced(self.map.shape().clone(), &forecast, &self.speeds);
        }
        self.planner.plan(&self.map, &forecast, &self.speeds).map
    }

    fn switch(&mut self, next: Map, score: &mut Score) {
        let faults = next.check(self.speeds.live());
        assert!(faults.is_empty(), "{}: {:?}", self.policy.name(), faults[0]);
        score.add_loads(next.loads_from(&self.map));
        self.map = next;
    }

    /// Runs `window` and updates score, speeds and estimate with the results.
    fn measure(&mut self, window: usize, load: &Load, score: &mut Score) {
        let ranks = self.map.shape().ranks();
        let speeds: Vec<Option<f64>> = (0..ranks).map(|r| self.scenario.speed(r, window)).collect();
        let live = speeds.iter().flatten().count() as f64;
        let speed: f64 = speeds.iter().flatten().sum();
        let (mut slowest, mut mean, mut ideal) = (0.0, 0.0, 0.0);
        let (mut tokens, mut seconds) = (vec![0.0; ranks], vec![0.0; ranks]);
        for layer in 0..load.layers() {
            let by_rank = self.tokens_by_rank(layer, load);
            let time = |rank: usize| {
                speeds[rank].map_or(0.0, |speed| by_rank[rank] * self.seconds_per_token / speed)
            };
            slowest += (0..ranks).map(time).fold(0.0, f64::max);
            mean += (0..ranks).map(time).sum::<f64>() / live;
            ideal += by_rank.iter().sum::<f64>() * self.seconds_per_token / speed;
            for rank in 0..ranks {
                tokens[rank] += by_rank[rank];
                seconds[rank] += time(rank);
            }
        }
        score.add_window(slowest, mean, ideal);
        self.speeds.observe(&tokens, &seconds);
        if self.policy == Policy::Full {
            // Uses only the newest window.
            let settings = LoadEstimatorSettings {
                level_weight: 1.0,
                trend_weight: 0.0,
                ..LoadEstimatorSettings::default()
            };
            self.estimator = LoadEstimator::new(load.layers(), load.experts(), settings);
        }
        self.estimator.observe(load);
    }

    fn tokens_by_rank(&self, layer: usize, load: &Load) -> Vec<f64> {
        let slots = self.map.layer(layer);
        let mut copies = vec![0.0; load.experts()];
        for expert in slots.iter().flatten() {
            copies[usize::from(expert.0)] += 1.0;
        }
        let mut tokens = vec![0.0; self.map.shape().ranks()];
        for (slot, expert) in slots.iter().enumerate() {
            if let Some(expert) = expert {
                let expert = usize::from(expert.0);
                tokens[slot / self.map.shape().slots_per_rank()] +=
                    load.layer(layer)[expert] / copies[expert];
            }
        }
        tokens
    }
}
