//! Forecast of the load from the windows observed so far.

use crate::{Load, LoadEstimatorSettings};

/// Forecast error, in shares of a layer, that is never treated as an outlier.
const ERROR_FLOOR: f64 = 0.02;

/// Minimum weight of an outlier window in the level.
const OUTLIER_LEVEL_WEIGHT: f64 = 0.9;

/// Smoothing weight of the newest forecast error.
const ERROR_WEIGHT: f64 = 0.2;

/// Forecasts the load from the windows observed so far.
///
/// Double exponential smoothing with a damped trend (Gardner and `McKenzie`,
/// 1985) of the share that each expert has of the tokens of its layer, so that
/// a change of total traffic doesn't look like a change of popularity.
#[derive(Clone, Debug)]
pub struct LoadEstimator {
    settings: LoadEstimatorSettings,
    windows: u64,
    /// Smoothed share of each expert.
    level: Load,
    /// Smoothed change of each share per window.
    trend: Load,
    /// Smoothed tokens of each layer.
    totals: Vec<f64>,
    /// Smoothed forecast error of each layer, in shares.
    mean_error: Vec<f64>,
}

impl LoadEstimator {
    /// An estimator without observations.
    ///
    /// ```
    /// use expert::{LoadEstimator, LoadEstimatorSettings};
    ///
    /// let estimator = LoadEstimator::new(1, 2, LoadEstimatorSettings::default());
    /// assert_eq!(estimator.windows(), 0);
    /// ```
    #[must_use]
    pub fn new(layers: usize, experts: usize, settings: LoadEstimatorSettings) -> LoadEstimator {
        LoadEstimator {
            settings,
            windows: 0,
            level: Load::new(layers, experts),
            trend: Load::new(layers, experts),
            totals: vec![0.0; layers],
            mean_error: vec![0.0; layers],
        }
    }

    /// Number of windows observed.
    #[must_use]
    pub fn windows(&self) -> u64 {
        self.windows
    }

    /// Updates the estimate with the counts of one window. A load of other
    /// dimensions is ignored.
    ///
    /// ```
    /// use expert::{Load, LoadEstimator, LoadEstimatorSettings};
    ///
    /// let mut estimator = LoadEstimator::new(1, 2, LoadEstimatorSettings::default());
    /// let mut load = Load::new(1, 2);
    /// load.add(&[30, 10]);
    /// estimator.observe(&load);
    /// assert_eq!(estimator.forecast().layer(0), &[30.0, 10.0]);
    /// ```
    pub fn observe(&mut self, load: &Load) {
        if (load.layers(), load.experts()) != (self.level.layers(), self.level.experts()) {
            return;
        }
        for layer in 0..load.layers() {
            self.observe_layer(layer, load.layer(layer));
        }
        self.windows += 1;
    }

    fn observe_layer(&mut self, layer: usize, tokens: &[f64]) {
        let total: f64 = tokens.iter().sum();
        if total <= 0.0 {
            return;
        }
        let first = self.totals[layer] <= 0.0;
        let error = self.error(layer, tokens, total);
        let mean_error = self.mean_error[layer];
        let max_error = self.settings.outlier_factor * mean_error + ERROR_FLOOR;
        let is_outlier = error > max_error;
        let weight = match (first, is_outlier) {
            (true, _) => 1.0,
            (false, true) => OUTLIER_LEVEL_WEIGHT.max(self.settings.level_weight),
            (false, false) => self.settings.level_weight,
        };
        if !first {
            // An outlier counts too, capped at the limit. Otherwise every
            // window of a steady drift just beyond the limit would be an
            // outlier, and its trend would never be learned.
            self.mean_error[layer] =
                mean_error + ERROR_WEIGHT * (error.min(max_error) - mean_error);
        }
        let damping = self.settings.damping;
        let (levels, trends) = (self.level.layer_mut(layer), self.trend.layer_mut(layer));
        for ((level, trend), &count) in levels.iter_mut().zip(trends).zip(tokens) {
            let expected = *level + damping * *trend;
            let next = expected + weight * (count / total - expected);
            *trend = if first || is_outlier {
                0.0
            } else {
                let change = next - *level;
                damping * *trend + self.settings.trend_weight * (change - damping * *trend)
            };
            *level = next;
        }
        self.totals[layer] += weight * (total - self.totals[layer]);
    }

    /// Sum of the absolute forecast errors of the shares of all experts.
    fn error(&self, layer: usize, tokens: &[f64], total: f64) -> f64 {
        let levels = self.level.layer(layer).iter();
        let expected = levels
            .zip(self.trend.layer(layer))
            .map(|(level, trend)| level + self.settings.damping * trend);
        expected
            .zip(tokens)
            .map(|(expected, count)| (count / total - expected).abs())
            .sum()
    }

    /// Mean load expected over the next
    /// [`forecast_windows`](LoadEstimatorSettings::forecast_windows).
    ///
    /// ```
    /// use expert::{LoadEstimator, LoadEstimatorSettings};
    ///
    /// let estimator = LoadEstimator::new(1, 2, LoadEstimatorSettings::default());
    /// assert_eq!(estimator.forecast().layer(0), &[0.0, 0.0]);
    /// ```
    #[must_use]
    pub fn forecast(&self) -> Load {
        let trend_factor = self.trend_factor();
        let mut load = Load::new(self.level.layers(), self.level.experts());
        for layer in 0..load.layers() {
            let total = self.totals[layer];
            let shares = self.level.layer(layer).iter().zip(self.trend.layer(layer));
            for (value, (level, trend)) in load.layer_mut(layer).iter_mut().zip(shares) {
                *value = (level + trend_factor * trend).max(0.0) * total;
            }
        }
        load
    }

    /// Multiple of the trend by which the shares move on average over the
    /// forecast windows.
    fn trend_factor(&self) -> f64 {
        let (mut increment, mut total, mut sum) = (1.0, 0.0, 0.0);
        for _ in 0..self.settings.forecast_windows {
            increment *= self.settings.damping;
            total += increment;
            sum += total;
        }
        sum / f64::from(self.settings.forecast_windows.max(1))
    }
}
