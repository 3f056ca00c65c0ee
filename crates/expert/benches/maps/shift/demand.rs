//! Demand whose popularity shifts, and the counts that a group reports of it.

use super::Size;
use expert::Load;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::f64::consts::TAU;
use std::time::Duration;

/// Tokens of a request: prompt and answer.
const TOKENS_PER_REQUEST: f64 = 970.0;

/// Exponent of the Zipf distribution of popularity. On the initial map the busiest rank
/// then has about three times the mean load, as in the deployments of
/// `docs/design/platform.md`.
const ZIPF_EXPONENT: f64 = 0.95;

/// Number of kinds of content, each with a popularity profile of its own.
const PROFILES: usize = 6;

/// Share of a request's tokens that follow the profile of its content. The others
/// follow the profile that all requests have in common.
const CONTENT_SHARE: f64 = 0.5;

/// Share of the experts whose popularity a shift redraws.
const SHIFTED_SHARE: f64 = 0.62;

/// Shortest time between two shifts, and by how much it varies.
const SHIFT_INTERVAL: (f64, f64) = (2.0, 1.0);

/// Demand of a group.
pub struct Demand {
    rng: StdRng,
    size: Size,
    /// Popularity by profile, layer and expert. The last profile is the common one.
    profiles: Vec<Load>,
    /// When popularity shifts next, in seconds; `None` for calm demand.
    next_shift: Option<f64>,
    counted: Duration,
    counts: Load,
}

impl Demand {
    pub fn new(size: Size, shifts: bool, seed: u64) -> Demand {
        let mut rng = StdRng::seed_from_u64(seed);
        let profiles = (0..=PROFILES).map(|_| profile(&mut rng, size)).collect();
        Demand {
            rng,
            size,
            profiles,
            next_shift: shifts.then_some(SHIFT_INTERVAL.0),
            counted: Duration::ZERO,
            counts: Load::new(size.layers.into(), size.experts.into()),
        }
    }

    /// Counts the tokens up to `now`, and shifts popularity if a shift is due. Returns
    /// whether it was.
    pub fn advance(&mut self, now: Duration) -> bool {
        self.count(now.saturating_sub(self.counted));
        self.counted = now;
        let due = self.next_shift.filter(|next| *next <= now.as_secs_f64());
        if let Some(due) = due {
            let pause = SHIFT_INTERVAL.0 + SHIFT_INTERVAL.1 * self.rng.random::<f64>();
            self.next_shift = Some(due + pause);
            self.shift();
        }
        due.is_some()
    }

    /// Exchanges popularity among a share of the experts, in all profiles alike.
    fn shift(&mut self) {
        let (layers, experts) = (
            usize::from(self.size.layers),
            usize::from(self.size.experts),
        );
        for layer in 0..layers {
            for profile in &mut self.profiles {
                let mut shifted: Vec<usize> = (0..experts)
                    .filter(|_| self.rng.random::<f64>() < SHIFTED_SHARE)
                    .collect();
                let values: Vec<f64> = shifted.iter().map(|&e| profile.layer(layer)[e]).collect();
                shuffle(&mut self.rng, &mut shifted);
                for (expert, value) in shifted.into_iter().zip(values) {
                    profile.layer_mut(layer)[expert] = value;
                }
            }
        }
    }

    /// Share of each expert in the tokens of its layer.
    pub fn popularity(&self) -> Load {
        let weight = CONTENT_SHARE / PROFILES as f64;
        let mut weights = vec![weight; PROFILES];
        weights.push(1.0 - CONTENT_SHARE);
        self.mix(&weights)
    }

    fn mix(&self, weights: &[f64]) -> Load {
        let mut mixed = Load::new(self.size.layers.into(), self.size.experts.into());
        for layer in 0..mixed.layers() {
            for (profile, weight) in self.profiles.iter().zip(weights) {
                let values = mixed.layer_mut(layer).iter_mut();
                for (value, share) in values.zip(profile.layer(layer)) {
                    *value += weight * share;
                }
            }
        }
        mixed
    }

    /// Counts the tokens of a time. All tokens of a request follow the same profile, so
    /// that counts vary more than those of independent tokens.
    fn count(&mut self, time: Duration) {
        let requests = poisson(&mut self.rng, self.size.requests_per_s * time.as_secs_f64());
        let mut weights = vec![0.0; PROFILES + 1];
        for _ in 0..requests as usize {
            weights[self.rng.random_range(0..PROFILES)] += CONTENT_SHARE * TOKENS_PER_REQUEST;
            weights[PROFILES] += (1.0 - CONTENT_SHARE) * TOKENS_PER_REQUEST;
        }
        let means = self.mix(&weights);
        for layer in 0..means.layers() {
            let counts = self.counts.layer_mut(layer).iter_mut();
            for (count, mean) in counts.zip(means.layer(layer)) {
                *count += poisson(&mut self.rng, *mean);
            }
        }
    }

    /// The counts since the last call.
    pub fn take_counts(&mut self) -> Load {
        let (layers, experts) = (self.counts.layers(), self.counts.experts());
        std::mem::replace(&mut self.counts, Load::new(layers, experts))
    }

    /// Adds counts that were taken to the next ones.
    pub fn return_counts(&mut self, counts: Load) {
        self.counts = counts;
    }
}

fn profile(rng: &mut StdRng, size: Size) -> Load {
    let mut load = Load::new(size.layers.into(), size.experts.into());
    for layer in 0..load.layers() {
        let mut places: Vec<usize> = (0..load.experts()).collect();
        shuffle(rng, &mut places);
        let values = load.layer_mut(layer);
        for (value, place) in values.iter_mut().zip(places) {
            *value = ((place + 1) as f64).powf(-ZIPF_EXPONENT);
        }
        let total: f64 = values.iter().sum();
        for value in values {
            *value /= total;
        }
    }
    load
}

fn shuffle(rng: &mut StdRng, values: &mut [usize]) {
    for last in (1..values.len()).rev() {
        values.swap(last, rng.random_range(0..=last));
    }
}

/// A sample of the Poisson distribution, by its normal approximation above 30.
fn poisson(rng: &mut StdRng, mean: f64) -> f64 {
    if mean > 30.0 {
        let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
        let normal = radius * (TAU * rng.random::<f64>()).cos();
        return (mean + mean.sqrt() * normal).round().max(0.0);
    }
    let (limit, mut product, mut count) = ((-mean).exp(), rng.random::<f64>(), 0.0);
    while product > limit {
        product *= rng.random::<f64>();
        count += 1.0;
    }
    count
}
