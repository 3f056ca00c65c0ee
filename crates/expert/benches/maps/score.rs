//! What one run showed.

use expert::MoveCost;
use std::time::Duration;

/// What one run showed.
pub struct Score {
    cost: MoveCost,
    skews: Vec<f64>,
    step_seconds: f64,
    even_seconds: f64,
    loads: usize,
    plans: Vec<Duration>,
}

impl Score {
    pub fn new(cost: MoveCost) -> Score {
        Score {
            cost,
            skews: Vec::new(),
            step_seconds: 0.0,
            even_seconds: 0.0,
            loads: 0,
            plans: Vec::new(),
        }
    }

    pub fn planned(&mut self, took: Duration) {
        self.plans.push(took);
    }

    pub fn loaded(&mut self, experts: usize) {
        self.loads += experts;
    }

    /// Takes in a window: the layers' slowest and mean rank and the time of
    /// a perfectly even split, summed over the layers.
    pub fn window(&mut self, slowest: f64, mean: f64, even: f64) {
        self.skews.push(slowest / mean);
        self.step_seconds += slowest;
        self.even_seconds += even;
    }

    pub fn mean_skew(&self) -> f64 {
        self.skews.iter().sum::<f64>() / self.skews.len() as f64
    }

    /// The skew that `share` of the windows don't exceed.
    pub fn skew_at(&self, share: f64) -> f64 {
        let mut sorted = self.skews.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[((sorted.len() - 1) as f64 * share).round() as usize]
    }

    /// Step time over that of a perfectly even split.
    pub fn over_even(&self) -> f64 {
        self.step_seconds / self.even_seconds
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
