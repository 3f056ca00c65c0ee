//! A group that steps on its map, counts, plans and switches.

use super::bound::{imbalance, lower_bound};
use super::demand::Demand;
use super::score::Score;
use super::{Estimate, Policy, Size};
use expert::{
    Load, LoadEstimator, LoadEstimatorSettings, Map, MoveCost, Plan, Planner, Shape, Speeds,
    StepTimer, TokenThreshold, Weights,
};
use std::time::{Duration, Instant};

/// Length of a run, and of its start, which is not measured.
const RUN: Duration = Duration::from_secs(40);
const WARM_UP: Duration = Duration::from_secs(3);
/// Settings of agents that serve a single rank.
const WINDOW: Duration = Duration::from_millis(250);
const HORIZON_WINDOWS: f64 = 12.0;
const BUSY_SECONDS: f64 = 0.07;
const SLOWDOWN: f64 = 0.15;
/// Time to collect the counts of all ranks.
const COLLECT: Duration = Duration::from_millis(60);
/// Time to agree on a switch once all ranks have loaded its map.
const AGREE: Duration = Duration::from_millis(400);
/// Time of a step without requests and for each running one: events of six tokens.
const STEP: (f64, f64) = (6.0 * 5.85e-3, 6.0 * 0.426e-3);
/// Steps of a request.
const STEPS_PER_REQUEST: f64 = 23.0;
/// Requests that run at once on a rank.
const SLOTS: f64 = 10.0;
/// Windows from one computation of the bounds to the next, which takes long.
const WINDOWS_PER_BOUND: usize = 7;
/// Weight of the newest step in the smoothed time of a step.
const NEWEST_WEIGHT: f64 = 0.1;

/// A switch that has begun.
struct Switch {
    map: Map,
    /// Until when ranks load experts, and when the map comes into force.
    loaded: Duration,
    in_force: Duration,
}

/// Run of one policy.
pub struct Group {
    policy: Policy,
    size: Size,
    demand: Demand,
    map: Map,
    switch: Option<Switch>,
    planner: Planner,
    estimator: LoadEstimator,
    threshold: TokenThreshold,
    speeds: Speeds,
    timer: StepTimer,
    steps: u64,
    step_seconds: f64,
    /// Load of the busiest rank over the mean, under the map in force.
    imbalance: f64,
}

impl Group {
    /// Runs the policy, and returns its results.
    pub fn run(policy: Policy, size: Size, shifts: bool, seed: u64) -> Score {
        let mut group = Group::new(policy, size, shifts, seed);
        let (start, mut now, mut score) = (Instant::now(), Duration::ZERO, Score::default());
        let mut windows = 0;
        let mut window = WINDOW;
        group.measure();
        while now < RUN {
            let measured = now >= WARM_UP;
            let duration = group.step(now);
            now += duration;
            if measured {
                score.add_step(group.imbalance, duration.as_secs_f64());
            }
            group.steps += 1;
            let has_shifted = group.demand.advance(now);
            if now >= window {
                group.observe();
                let step_time = group.timer.observe(group.steps, start + now);
                windows += 1;
                if measured && windows % WINDOWS_PER_BOUND == 0 {
                    group.measure_bounds(&mut score);
                }
                if group.begin_switch(step_time, now) && measured {
                    score.switches += 1;
                }
                window = now + WINDOW;
            }
            if group.finish_switch(now) || has_shifted {
                group.measure();
            }
        }
        score.seconds = now.saturating_sub(WARM_UP).as_secs_f64();
        score
    }

    fn new(policy: Policy, size: Size, shifts: bool, seed: u64) -> Group {
        let shape = Shape::new(
            size.layers,
            size.experts,
            size.slots,
            (0..size.ranks).collect(),
        );
        let (layers, experts) = (size.layers.into(), size.experts.into());
        let cost = MoveCost {
            expert_bytes: 130_000_000,
            store_bytes_per_s: 180e9 / 8.0,
            slowdown: SLOWDOWN,
            store_price: 0.0,
            max_plan_bytes: u64::MAX,
        };
        Group {
            policy,
            size,
            demand: Demand::new(size, shifts, seed),
            map: Map::round_robin(shape),
            switch: None,
            planner: Planner {
                weights: Weights {
                    skew: 1.0,
                    moves: policy.moves,
                },
                cost,
                horizon_windows: HORIZON_WINDOWS,
            },
            estimator: LoadEstimator::new(layers, experts, LoadEstimatorSettings::default()),
            threshold: TokenThreshold::default(),
            speeds: Speeds::new(size.ranks.into(), 1e-6),
            timer: StepTimer::default(),
            steps: 0,
            step_seconds: STEP.0,
            imbalance: 1.0,
        }
    }

    fn measure(&mut self) {
        self.imbalance = imbalance(&self.map, &self.demand.popularity());
    }

    /// Time of the next step.
    fn step(&mut self, now: Duration) -> Duration {
        let rate = self.size.requests_per_s / f64::from(self.size.ranks);
        let running = (rate * STEPS_PER_REQUEST * self.step_seconds).min(SLOTS);
        let loads = self.switch.as_ref().is_some_and(|s| now < s.loaded);
        let slowdown = if loads { 1.0 + SLOWDOWN } else { 1.0 };
        let seconds = (STEP.0 + STEP.1 * running) * self.imbalance * slowdown;
        self.step_seconds += NEWEST_WEIGHT * (seconds - self.step_seconds);
        Duration::from_secs_f64(seconds)
    }

    fn observe(&mut self) {
        let counts = self.demand.take_counts();
        let tokens: f64 = (0..counts.layers()).flat_map(|l| counts.layer(l)).sum();
        if !self.threshold.admits(tokens as u64) {
            self.demand.return_counts(counts);
            return;
        }
        self.estimator.observe(&counts);
        let busy = vec![BUSY_SECONDS; self.size.ranks.into()];
        self.speeds
            .observe(&self.map.tokens_by_rank(&counts), &busy);
    }

    /// Begins a switch if the plan asks for one. Returns whether it did.
    fn begin_switch(&mut self, step_time: Option<Duration>, now: Duration) -> bool {
        if self.switch.is_some() || self.estimator.windows() == 0 {
            return false;
        }
        let plan = self.plan();
        let needed = |criteria: expert::SwitchCriteria| criteria.should_switch(&plan, step_time);
        if !plan.is_change || !self.policy.criteria.is_none_or(needed) {
            return false;
        }
        let loads = self.most_loads(&plan.map);
        let load_time = Duration::from_secs_f64(self.planner.cost.load_seconds() * loads);
        let loaded = now + COLLECT + load_time;
        let (loaded, in_force) = if self.policy.has_lag {
            (loaded, loaded + AGREE)
        } else {
            (now, now)
        };
        self.switch = Some(Switch {
            map: plan.map,
            loaded,
            in_force,
        });
        true
    }

    fn plan(&self) -> Plan {
        let load = match self.policy.estimate {
            Estimate::Counts => self.estimator.forecast(),
            Estimate::True => self.demand.popularity(),
        };
        let max_new = self.policy.max_new;
        self.planner
            .plan_with_limit(&self.map, &self.scaled(load), &self.speeds, max_new)
    }

    /// The load with the tokens of a window, which the speeds are in proportion to.
    fn scaled(&self, mut load: Load) -> Load {
        let tokens = self.estimator.forecast().layer(0).iter().sum::<f64>();
        for layer in 0..load.layers() {
            let values = load.layer_mut(layer);
            let total: f64 = values.iter().sum();
            for value in values {
                *value *= tokens / total;
            }
        }
        load
    }

    /// Largest number of experts that a rank loads.
    fn most_loads(&self, next: &Map) -> f64 {
        let loads = |rank: usize| -> usize {
            let new = |layer: usize| {
                let before = self.map.rank_slots(layer, rank);
                let after = next.rank_slots(layer, rank).iter();
                after.filter(|e| e.is_some() && !before.contains(e)).count()
            };
            (0..self.size.layers.into()).map(new).sum()
        };
        (0..self.size.ranks.into()).map(loads).max().unwrap_or(0) as f64
    }

    fn finish_switch(&mut self, now: Duration) -> bool {
        let due = self.switch.take_if(|switch| switch.in_force <= now);
        due.map(|switch| self.map = switch.map).is_some()
    }

    /// Measures what maps without limit on moves would reach.
    fn measure_bounds(&self, score: &mut Score) {
        let load = self.demand.popularity();
        score.bound.push(lower_bound(self.map.shape(), &load));
        score
            .best_true
            .push(imbalance(&self.best_map(&load), &load));
        let estimate = self.estimator.forecast();
        let best = self.best_map(&estimate);
        score.best_estimate.push(imbalance(&best, &load));
    }

    fn best_map(&self, load: &Load) -> Map {
        let planner = Planner {
            weights: Weights {
                skew: 1.0,
                moves: 0.0,
            },
            ..self.planner
        };
        let speeds = Speeds::new(self.size.ranks.into(), 1e-6);
        let packed = Map::balanced(self.map.shape().clone(), load, &speeds);
        planner.plan(&packed, load, &speeds).map
    }
}
