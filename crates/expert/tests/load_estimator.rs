//! Estimates from noisy counts and across changes of popularity.

use expert::{Load, LoadEstimator, LoadEstimatorSettings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const LAYERS: usize = 4;
const EXPERTS: usize = 32;
/// Tokens of each layer in a window.
const TOKENS: usize = 2_000;

/// Shares that fall with the number of the expert, counted from `first`.
fn shares(first: usize) -> Vec<f64> {
    let mut weights: Vec<f64> = (1_u32..)
        .take(EXPERTS)
        .map(|n| 1.0 / f64::from(n))
        .collect();
    let total: f64 = weights.iter().sum();
    weights.rotate_right(first);
    weights.iter().map(|weight| weight / total).collect()
}

/// Counts of `tokens` independent tokens in each layer.
fn add_counts(load: &mut Load, shares: &[f64], tokens: usize, rng: &mut StdRng) {
    for layer in 0..LAYERS {
        for _ in 0..tokens {
            let mut rest = rng.random::<f64>();
            let chosen = shares.iter().position(|share| {
                rest -= share;
                rest < 0.0
            });
            load.layer_mut(layer)[chosen.unwrap_or(0)] += 1.0;
        }
    }
}

fn counts(shares: &[f64], rng: &mut StdRng) -> Load {
    let mut load = Load::new(LAYERS, EXPERTS);
    add_counts(&mut load, shares, TOKENS, rng);
    load
}

/// Mean squared error of the shares of a load.
fn error(load: &Load, shares: &[f64]) -> f64 {
    let error = |layer: usize| -> f64 {
        let total: f64 = load.layer(layer).iter().sum();
        let values = load.layer(layer).iter().zip(shares);
        values.map(|(v, share)| (v / total - share).powi(2)).sum()
    };
    (0..LAYERS).map(error).sum()
}

/// Guards against maps that follow the noise of the newest window: without a change of
/// popularity, earlier windows have to count almost as much.
#[test]
fn forecast_noisy_counts() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut estimator = LoadEstimator::new(LAYERS, EXPERTS, LoadEstimatorSettings::default());
    let (mut of_forecast, mut of_window) = (0.0, 0.0);
    for window in 0..60 {
        let load = counts(&shares(0), &mut rng);
        estimator.observe(&load);
        if window >= 30 {
            of_forecast += error(&estimator.forecast(), &shares(0));
            of_window += error(&load, &shares(0));
        }
    }
    assert!(of_forecast < 0.35 * of_window, "{of_forecast} {of_window}");
}

/// Guards against a smooth estimate that follows a change of popularity only after
/// several windows.
#[test]
fn forecast_change_after_noise() {
    let mut rng = StdRng::seed_from_u64(2);
    let mut estimator = LoadEstimator::new(LAYERS, EXPERTS, LoadEstimatorSettings::default());
    for _ in 0..60 {
        estimator.observe(&counts(&shares(0), &mut rng));
    }
    let load = counts(&shares(11), &mut rng);
    estimator.observe(&load);
    let noise = error(&load, &shares(11));
    assert!(error(&estimator.forecast(), &shares(11)) < 4.0 * noise);
}

/// Guards against a map for a mix of two popularities, which suits neither and is in force
/// until the next switch, when popularity changes within a window.
#[test]
fn forecast_change_within_window() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut estimator = LoadEstimator::new(LAYERS, EXPERTS, LoadEstimatorSettings::default());
    for _ in 0..60 {
        estimator.observe(&counts(&shares(0), &mut rng));
    }
    let mut mixed = Load::new(LAYERS, EXPERTS);
    add_counts(&mut mixed, &shares(0), TOKENS / 2, &mut rng);
    add_counts(&mut mixed, &shares(11), TOKENS / 2, &mut rng);
    estimator.observe(&mixed);
    let of_forecast = error(&estimator.forecast(), &shares(11));
    let of_window = error(&mixed, &shares(11));
    assert!(of_forecast < 0.2 * of_window, "{of_forecast} {of_window}");
}

/// Guards against removing tokens of experts that stay popular, when a single one of them
/// loses half of its popularity in a change that leaves the others as they were.
#[test]
fn forecast_change_of_unpopular_experts() {
    let mut rng = StdRng::seed_from_u64(4);
    let mut estimator = LoadEstimator::new(LAYERS, EXPERTS, LoadEstimatorSettings::default());
    for _ in 0..60 {
        estimator.observe(&counts(&shares(0), &mut rng));
    }
    let former = estimator.forecast().layer(0)[1];
    let mut changed = shares(0);
    changed[4..].reverse();
    let mut load = counts(&changed, &mut rng);
    load.layer_mut(0)[1] = 0.5 * former;
    estimator.observe(&load);
    let share = estimator.forecast().layer(0)[1] / former;
    assert!((0.4..0.6).contains(&share), "{share}");
}
