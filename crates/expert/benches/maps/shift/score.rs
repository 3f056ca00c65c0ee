//! Results of one run under shifting demand.

/// Results of one run.
#[derive(Default)]
pub struct Score {
    /// Load of the busiest rank over the mean, by step.
    steps: Vec<f64>,
    slow_steps: usize,
    pub seconds: f64,
    pub switches: usize,
    /// Load of the busiest rank over the mean, by window: lower bound, under the best
    /// map for the true demand, and under the best one for the estimate.
    pub bound: Vec<f64>,
    pub best_true: Vec<f64>,
    pub best_estimate: Vec<f64>,
}

/// Step time beyond which the gap between two events is too long.
const LONGEST_STEP: f64 = 0.12;

impl Score {
    pub fn add_step(&mut self, imbalance: f64, seconds: f64) {
        self.steps.push(imbalance);
        self.slow_steps += usize::from(seconds > LONGEST_STEP);
    }

    /// Adds the results of another run.
    pub fn merge(mut self, other: Score) -> Score {
        self.steps.extend(other.steps);
        self.slow_steps += other.slow_steps;
        self.seconds += other.seconds;
        self.switches += other.switches;
        self.bound.extend(other.bound);
        self.best_true.extend(other.best_true);
        self.best_estimate.extend(other.best_estimate);
        self
    }

    pub fn imbalance(&self) -> f64 {
        mean(&self.steps)
    }

    /// Percentage of the steps that are too slow.
    pub fn slow_percent(&self) -> f64 {
        100.0 * self.slow_steps as f64 / self.steps.len() as f64
    }

    pub fn switches_per_minute(&self) -> f64 {
        60.0 * self.switches as f64 / self.seconds
    }
}

pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}
