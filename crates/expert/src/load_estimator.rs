//! Forecast of the load from the windows observed so far.

use crate::popularity_change::PopularityChange;
use crate::{Load, LoadEstimatorSettings};

/// Multiple of the noise that the squared forecast error must exceed to move the level.
/// Content differs from request to request, so the error of a window without a change of
/// popularity is often twice the mean one.
const NOISE_MARGIN: f64 = 2.0;

/// Multiple of the noise up to which a squared forecast error counts towards it. Otherwise
/// a change of popularity would pass for noise for many windows.
const MAX_NOISE_RATIO: f64 = 4.0;

/// Part of the squared error beyond the noise from which a layer clearly shows a change:
/// a squared error of three times the noise. Below it, the content of a few requests may be
/// the cause.
const CLEAR_EXCESS: f64 = 0.33;

/// Smoothing weight of the newest squared forecast error in the noise.
const NOISE_WEIGHT: f64 = 0.2;

/// How fast the weight of the newest window follows the correlation of errors.
const ADAPTATION_RATE: f64 = 0.3;

/// Range of the weight of the newest window, apart from changes of popularity.
const LEVEL_WEIGHTS: (f64, f64) = (0.1, 0.9);

/// Forecasts the load from the windows observed so far.
///
/// Double exponential smoothing with a damped trend (Gardner and `McKenzie`,
/// 1985) of the share that each expert has of the tokens of its layer, so that
/// a change of total traffic doesn't look like a change of popularity.
///
/// Counts are noisy, and popularity may change from one window to the next. The level is
/// therefore the mean of the windows since the last change, and the weight of a window
/// grows with the part of its error that exceeds the noise measured so far (James and
/// Stein, 1961). Once there are many windows, the newest keeps a least weight. It falls while
/// consecutive errors have opposite signs, because the level then follows noise, and
/// rises while they have the same sign, because the level then lags.
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
    /// Smoothed squared forecast error of each layer, in squared shares.
    noise: Vec<f64>,
    /// Weight of the last window of each layer.
    last_weight: Vec<f64>,
    /// Forecast errors of the last window.
    errors: Load,
    /// Popularity changed in the last window, in most layers.
    has_changed: bool,
    /// Least weight of a window in the level.
    level_weight: f64,
}

/// What a window shows of a layer.
#[derive(Clone, Copy, Debug)]
struct Seen {
    /// Popularity changed.
    is_change: bool,
    /// Part of the squared error that exceeds the noise.
    excess: f64,
    /// Correlation of the forecast errors with those of the previous window.
    correlation: f64,
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
            noise: vec![0.0; layers],
            last_weight: vec![1.0; layers],
            errors: Load::new(layers, experts),
            has_changed: false,
            level_weight: settings.level_weight,
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
        let former = self.level.clone();
        let layers = 0..load.layers();
        let seen: Vec<Seen> = layers
            .filter_map(|layer| self.observe_layer(layer, load.layer(layer)))
            .collect();
        self.adapt(&seen);
        let changes = seen.iter().filter(|s| s.excess >= CLEAR_EXCESS).count();
        let has_changed = 2 * changes > load.layers();
        if has_changed && !self.has_changed {
            self.remove_former(&former, load);
        }
        self.has_changed = has_changed;
        self.windows += 1;
    }

    /// Removes the tokens before a change of popularity from the estimate. Most changes
    /// happen within a window, and a map for a mix of two popularities suits neither.
    fn remove_former(&mut self, former: &Load, load: &Load) {
        if let Some(change) = PopularityChange::new(former, load) {
            for layer in 0..load.layers() {
                change.store(layer, self.level.layer_mut(layer));
            }
        }
    }

    /// Adapts the least weight of a window to the mean correlation of the errors of the
    /// last two windows, over the layers without a change of popularity.
    #[allow(clippy::cast_precision_loss, reason = "there are few layers")]
    fn adapt(&mut self, seen: &[Seen]) {
        let steady = seen.iter().filter(|seen| !seen.is_change);
        let correlations: Vec<f64> = steady.map(|seen| seen.correlation).collect();
        let count = correlations.len().max(1) as f64;
        let mean = correlations.iter().sum::<f64>() / count;
        let (least, most) = LEVEL_WEIGHTS;
        let weight = self.level_weight * (ADAPTATION_RATE * mean).exp();
        self.level_weight = weight.clamp(least, most);
    }

    /// Updates the estimate of a layer. `None` for the first window of the layer, and
    /// for one without tokens.
    fn observe_layer(&mut self, layer: usize, tokens: &[f64]) -> Option<Seen> {
        let total: f64 = tokens.iter().sum();
        if total <= 0.0 {
            return None;
        }
        let first = self.totals[layer] <= 0.0;
        let (power, correlation) = self.measure_errors(layer, tokens, total);
        let noise = self.noise(layer, tokens, total, power);
        let excess = (1.0 - NOISE_MARGIN * noise / power.max(f64::MIN_POSITIVE)).max(0.0);
        let averaging = 1.0 / (1.0 + 1.0 / self.last_weight[layer]);
        let usual = self.level_weight.max(averaging);
        let weight = if first { 1.0 } else { usual.max(excess) };
        let is_change = excess > usual;
        if !first {
            // The error of a change counts too, up to a limit. Otherwise every
            // window of a steady drift just beyond the noise would be a change,
            // and its trend would never be learned.
            let error = power.min(MAX_NOISE_RATIO * noise);
            self.noise[layer] = noise + NOISE_WEIGHT * (error - noise);
        }
        self.last_weight[layer] = weight;
        self.update_level(layer, tokens, total, weight, first || is_change);
        self.totals[layer] += weight * (total - self.totals[layer]);
        (!first).then_some(Seen {
            is_change,
            excess,
            correlation,
        })
    }

    fn update_level(
        &mut self,
        layer: usize,
        tokens: &[f64],
        total: f64,
        weight: f64,
        is_change: bool,
    ) {
        let damping = self.settings.damping;
        let (levels, trends) = (self.level.layer_mut(layer), self.trend.layer_mut(layer));
        for ((level, trend), &count) in levels.iter_mut().zip(trends).zip(tokens) {
            let expected = *level + damping * *trend;
            let next = expected + weight * (count / total - expected);
            *trend = if is_change {
                0.0
            } else {
                let change = next - *level;
                damping * *trend + self.settings.trend_weight * (change - damping * *trend)
            };
            *level = next;
        }
    }

    /// Noise expected in a window: that of earlier windows, and at least that of
    /// independent tokens. Without earlier errors, it is half of the difference
    /// of two windows.
    fn noise(&self, layer: usize, tokens: &[f64], total: f64, power: f64) -> f64 {
        let shares = tokens.iter().map(|count| count / total);
        let independent = shares.map(|share| share * (1.0 - share)).sum::<f64>() / total;
        let measured = if self.noise[layer] > 0.0 {
            self.noise[layer]
        } else {
            power / 2.0
        };
        measured.max(independent)
    }

    /// Stores the forecast errors of the shares of all experts. Returns the sum of their
    /// squares, and their correlation with the errors of the last window.
    fn measure_errors(&mut self, layer: usize, tokens: &[f64], total: f64) -> (f64, f64) {
        let levels = self.level.layer(layer).iter();
        let expected = levels
            .zip(self.trend.layer(layer))
            .map(|(level, trend)| level + self.settings.damping * trend);
        let (mut power, mut last_power, mut product) = (0.0, 0.0, 0.0);
        let errors = self.errors.layer_mut(layer).iter_mut();
        for ((stored, expected), count) in errors.zip(expected).zip(tokens) {
            let error = count / total - expected;
            let last = std::mem::replace(stored, error);
            power += error * error;
            last_power += last * last;
            product += error * last;
        }
        let scale = (power * last_power).sqrt().max(f64::MIN_POSITIVE);
        (power, product / scale)
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
