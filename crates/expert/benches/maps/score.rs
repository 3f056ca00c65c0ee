//! Results of one run.

use expert::MoveCost;
use std::time::Duration;

/// Results of one run.
pub struct Score {
    cost: MoveCost,
    skews: Vec<f64>,
    step_seconds: f64,
    ideal_seconds: f64,
    loads: usize,
    plans: Vec<Duration>,
}

impl Score {
    pub fn new(cost: MoveCost) -> Score {
        Score {
            cost,
            skews: Vec::new(),
            step_seconds: 0.0,
            ideal_seconds: 0.0,
            loads: 0,
            plans: Vec::new(),
        }
    }

    pub fn add_plan(&mut self, duration: Duration) {
        self.plans.push(duration);
    }

    pub fn add_loads(&mut self, experts: usize) {
        self.loads += experts;
    }

    /// Adds a window: the times of the slowest rank, of the mean rank and of a
    /// perfectly even split, each in seconds and summed over the layers.
    pub fn add_window(&mut self, slowest: f64, mean: f64, ideal: f64) {
        self.skews.push(slowest / mean);
        self.step_seconds += slowest;
        self.ideal_seconds += ideal;
    }

    pub fn mean_skew(&self) -> f64 {
        self.skews.iter().sum::<f64>() / self.skews.len() as f64
    }

    /// The `share` quantile of the skews of all windows.
    pub fn skew_quantile(&self, share: f64) -> f64 {
        let mut sorted = self.skews.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[((sorted.len() - 1) as f64 * share).round() as usize]
    }

    /// Ratio of the step time to that of a perfectly even split.
    pub fn over_ideal(&self) -> f64 {
        self.step_seconds / self.ideal_seconds
    }

    pub fn bytes(&self) -> f64 {
        self.loads as f64 * self.cost.expert_bytes as f64
    }

    /// Step time lost to loading, in seconds.
    pub fn moving_seconds(&self) -> f64 {
        self.loads as f64 * self.cost.load_seconds() * self.cost.slowdown
    }

    pub fn mean_plan(&self) -> Duration {
        self.plans.iter().sum::<Duration>() / self.plans.len() as u32
    }

    pub fn longest_plan(&self) -> Duration {
        self.plans.iter().max().copied().unwrap_or_default()
    }
}
