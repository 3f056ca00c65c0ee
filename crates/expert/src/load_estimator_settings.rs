//! Smoothing parameters of the load estimator.

/// Smoothing parameters of the load estimator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimatorSettings {
    /// Initial weight of the newest window in the level, 0 to 1; it adapts to the noise
    /// of the counts.
    pub level_weight: f64,
    /// Weight of the newest change in the trend, 0 to 1.
    pub trend_weight: f64,
    /// Share of the trend that remains one window later, 0 to 1.
    pub damping: f64,
    /// Number of future windows over which the forecast is averaged.
    pub forecast_windows: u32,
}

impl Default for LoadEstimatorSettings {
    fn default() -> LoadEstimatorSettings {
        LoadEstimatorSettings {
            level_weight: 0.6,
            trend_weight: 0.3,
            damping: 0.9,
            forecast_windows: 2,
        }
    }
}
