//! Seeded load trace of a group over one day.

use crate::scenario::Scenario;
use expert::Load;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::f64::consts::TAU;

/// Number of five-minute windows in a day.
pub const WINDOWS: usize = 288;

/// Mean tokens per layer and window.
const MEAN_TOKENS: f64 = 4e6;

/// Exponent of the Zipf distribution of popularity. It makes the most popular
/// expert about six times as popular as the mean.
const ZIPF_EXPONENT: f64 = 0.5;

/// Standard deviation of the autocorrelated noise, per window.
const SLOW_NOISE: f64 = 0.012;
/// Standard deviation of the independent noise of each window.
const FAST_NOISE: f64 = 0.01;

/// Autocorrelation of the slow noise from one window to the next.
const SLOW_NOISE_CORRELATION: f64 = 0.95;

/// Popularity of one expert of one layer.
struct Popularity {
    /// Relative popularity without variation.
    base: f64,
    /// Amplitude of the daily variation, as a natural logarithm.
    amplitude: f64,
    /// Phase of the daily variation, as a fraction of a day.
    phase: f64,
    /// Current slow noise.
    noise: f64,
}

/// Seeded load trace of a group over one day.
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
            .map(|_| layer_popularity(&mut rng, experts, scenario.max_amplitude()))
            .collect();
        Trace {
            rng,
            scenario,
            experts,
            popularity,
        }
    }

    /// The load of `window`. Windows must be requested in ascending order.
    pub fn next(&mut self, window: usize) -> Load {
        if self.scenario.flips_at(window) {
            self.flip();
        }
        let day = window as f64 / WINDOWS as f64;
        let volume = MEAN_TOKENS * (1.0 + 0.4 * (TAU * (day - 0.25)).sin());
        let mut load = Load::new(self.popularity.len(), self.experts);
        for (layer, experts) in self.popularity.iter_mut().enumerate() {
            let values = load.layer_mut(layer);
            for (value, expert) in values.iter_mut().zip(experts) {
                expert.noise =
                    SLOW_NOISE_CORRELATION * expert.noise + SLOW_NOISE * normal(&mut self.rng);
                let variation = expert.amplitude * (TAU * (day + expert.phase)).sin();
                let fast_noise = FAST_NOISE * normal(&mut self.rng);
                *value = expert.base * (variation + expert.noise + fast_noise).exp();
            }
            let total: f64 = values.iter().sum();
            for value in values {
                *value = (*value / total * volume).round();
            }
        }
        load
    }

    /// Swaps the popularity of random pairs of experts in each layer, as many
    /// pairs as a quarter of the experts.
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

fn layer_popularity(rng: &mut StdRng, experts: usize, max_amplitude: f64) -> Vec<Popularity> {
    let mut popularity_ranks: Vec<usize> = (1..=experts).collect();
    for last in (1..experts).rev() {
        popularity_ranks.swap(last, rng.random_range(0..=last));
    }
    let popularity = popularity_ranks
        .into_iter()
        .map(|popularity_rank| Popularity {
            base: (popularity_rank as f64).powf(-ZIPF_EXPONENT),
            amplitude: max_amplitude * rng.random::<f64>(),
            phase: rng.random(),
            noise: 0.0,
        });
    popularity.collect()
}

/// A sample of the standard normal distribution by the Box–Muller transform.
fn normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (TAU * rng.random::<f64>()).cos()
}
