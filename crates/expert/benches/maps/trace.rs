//! Seeded load of a group over one day.

use crate::scenario::Scenario;
use expert::Load;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::f64::consts::TAU;

/// Windows of five minutes in a day.
pub const WINDOWS: usize = 288;

/// Tokens of a layer in a usual window.
const TOKENS: f64 = 4e6;

/// Exponent of the popularity by place, with the hottest expert near six
/// times the mean.
const ZIPF: f64 = 0.5;

/// Standard deviations of the noise that lasts, and of that of each window.
const SLOW_NOISE: f64 = 0.012;
const QUICK_NOISE: f64 = 0.01;

/// Share of the lasting noise that is left one window later.
const NOISE_LEFT: f64 = 0.95;

/// One expert of one layer.
struct Popularity {
    base: f64,
    swing: f64,
    phase: f64,
    noise: f64,
}

/// Seeded load of a group over one day.
pub struct Trace {
    rng: StdRng,
    scenario: Scenario,
    experts: usize,
    popularity: Vec<Vec<Popularity>>,
}

impl Trace {
    pub fn new(scenario: Scenario, layers: usize, experts: usize, seed: u64) -> Trace {
        let mut rng = StdRng::seed_from_u64(seed);
        let popularity = (0..layers)
            .map(|_| layer(&mut rng, experts, scenario.swing()))
            .collect();
        Trace {
            rng,
            scenario,
            experts,
            popularity,
        }
    }

    /// The load of window `t`; windows are asked for in order.
    pub fn next(&mut self, t: usize) -> Load {
        if self.scenario.flips_at(t) {
            self.flip();
        }
        let day = t as f64 / WINDOWS as f64;
        let volume = TOKENS * (1.0 + 0.4 * (TAU * (day - 0.25)).sin());
        let mut load = Load::new(self.popularity.len(), self.experts);
        for (layer, experts) in self.popularity.iter_mut().enumerate() {
            let values = load.layer_mut(layer);
            for (value, expert) in values.iter_mut().zip(experts) {
                expert.noise = NOISE_LEFT * expert.noise + SLOW_NOISE * normal(&mut self.rng);
                let swing = expert.swing * (TAU * (day + expert.phase)).sin();
                let quick = QUICK_NOISE * normal(&mut self.rng);
                *value = expert.base * (swing + expert.noise + quick).exp();
            }
            let total: f64 = values.iter().sum();
            for value in values {
                *value = (*value / total * volume).round();
            }
        }
        load
    }

    /// Half of the experts of each layer trade their popularity.
    fn flip(&mut self) {
        for experts in &mut self.popularity {
            for _ in 0..experts.len() / 4 {
                let a = self.rng.random_range(0..experts.len());
                let b = self.rng.random_range(0..experts.len());
                let base = experts[a].base;
                experts[a].base = experts[b].base;
                experts[b].base = base;
            }
        }
    }
}

fn layer(rng: &mut StdRng, experts: usize, swing: f64) -> Vec<Popularity> {
    let mut places: Vec<usize> = (1..=experts).collect();
    for last in (1..experts).rev() {
        places.swap(last, rng.random_range(0..=last));
    }
    let popularity = places.into_iter().map(|place| Popularity {
        base: (place as f64).powf(-ZIPF),
        swing: swing * rng.random::<f64>(),
        phase: rng.random(),
        noise: 0.0,
    });
    popularity.collect()
}

/// A normal deviate by the method of Box and Muller.
fn normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (TAU * rng.random::<f64>()).cos()
}
