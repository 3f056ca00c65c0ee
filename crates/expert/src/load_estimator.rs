//! Forecast of the load from the windows counted so far.

use crate::{Load, LoadEstimatorSettings};

/// Error of a forecast, in shares of a layer, that is never a surprise.
const ERROR_FLOOR: f64 = 0.02;

/// Weight of the newest window after a surprise.
const LEVEL_AFTER_SURPRISE: f64 = 0.9;

/// Weight of the newest error in the usual error.
const ERROR_WEIGHT: f64 = 0.2;

/// Forecast of the load from the windows counted so far.
///
/// Double exponential smoothing with a damped trend (Gardner and `McKenzie`,
/// 1985) over the share that each expert has of its layer, so that a busier
/// hour doesn't look like a change of popularity.
#[derive(Clone, Debug)]
pub struct LoadEstimator {
    settings: LoadEstimatorSettings,
    windows: u64,
    level: Load,
    trend: Load,
    totals: Vec<f64>,
    usual_error: Vec<f64>,
}

impl LoadEstimator {
    /// An estimate that has seen nothing.
    ///
    /// ```
    /// use expert::{LoadEstimator, LoadEstimatorSettings};
    ///
    /// let estimate = LoadEstimator::new(1, 2, LoadEstimatorSettings::default());
    /// assert_eq!(estimate.windows(), 0);
    /// ```
    #[must_use]
    pub fn new(layers: usize, experts: usize, settings: LoadEstimatorSettings) -> LoadEstimator {
        LoadEstimator {
            settings,
            windows: 0,
            level: Load::new(layers, experts),
            trend: Load::new(layers, experts),
            totals: vec![0.0; layers],
            usual_error: vec![0.0; layers],
        }
    }

    /// Number of windows taken in.
    #[must_use]
    pub fn windows(&self) -> u64 {
        self.windows
    }

    /// Takes in the counts of one window. A load of other dimensions is
    /// ignored.
    ///
    /// ```
    /// use expert::{LoadEstimator, LoadEstimatorSettings, Load};
    ///
    /// let mut estimate = LoadEstimator::new(1, 2, LoadEstimatorSettings::default());
    /// let mut load = Load::new(1, 2);
    /// load.add(&[30, 10]);
    /// estimate.observe(&load);
    /// assert_eq!(estimate.forecast().layer(0), &[30.0, 10.0]);
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
        let usual = self.usual_error[layer];
        let most = self.settings.outlier_factor * usual + ERROR_FLOOR;
        let surprised = error > most;
        let weight = match (first, surprised) {
            (true, _) => 1.0,
            (false, true) => LEVEL_AFTER_SURPRISE.max(self.settings.level_weight),
            (false, false) => self.settings.level_weight,
        };
        if !first {
            // A surprise counts too, up to its limit: a steady drift just
            // beyond it would otherwise be a surprise for ever, and its trend
            // never be learnt.
            self.usual_error[layer] = usual + ERROR_WEIGHT * (error.min(most) - usual);
        }
        let damping = self.settings.damping;
        let (levels, trends) = (self.level.layer_mut(layer), self.trend.layer_mut(layer));
        for ((level, trend), &count) in levels.iter_mut().zip(trends).zip(tokens) {
            let expected = *level + damping * *trend;
            let next = expected + weight * (count / total - expected);
            *trend = if first || surprised {
                0.0
            } else {
                let change = next - *level;
                damping * *trend + self.settings.trend_weight * (change - damping * *trend)
            };
            *level = next;
        }
        self.totals[layer] += weight * (total - self.totals[layer]);
    }

    /// Sum over the experts of how far the forecast of their shares is off.
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

    /// The load expected on average over the next windows.
    ///
    /// ```
    /// use expert::{LoadEstimator, LoadEstimatorSettings};
    ///
    /// let estimate = LoadEstimator::new(1, 2, LoadEstimatorSettings::default());
    /// assert_eq!(estimate.forecast().layer(0), &[0.0, 0.0]);
    /// ```
    #[must_use]
    pub fn forecast(&self) -> Load {
        let reach = self.reach();
        let mut load = Load::new(self.level.layers(), self.level.experts());
        for layer in 0..load.layers() {
            let total = self.totals[layer];
            let shares = self.level.layer(layer).iter().zip(self.trend.layer(layer));
            for (value, (level, trend)) in load.layer_mut(layer).iter_mut().zip(shares) {
                *value = (level + reach * trend).max(0.0) * total;
            }
        }
        load
    }

    /// By how many trends the shares move, averaged over the windows ahead.
    fn reach(&self) -> f64 {
        let (mut step, mut moved, mut sum) = (1.0, 0.0, 0.0);
        for _ in 0..self.settings.forecast_windows {
            step *= self.settings.damping;
            moved += step;
            sum += moved;
        }
        sum / f64::from(self.settings.forecast_windows.max(1))
    }
}
