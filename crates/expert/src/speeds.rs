//! Relative compute speed of each rank.

/// Smoothing weight of the newest window.
const NEWEST_WEIGHT: f64 = 0.5;

/// Relative deviation from the usual speed that is treated as noise: step
/// times include more than the work of the experts, and moving experts in
/// response to noise costs more than it saves.
const DEAD_ZONE: f64 = 0.08;

/// Lower bound of the relative speed; a rank below it is as good as lost.
const MIN_SPEED: f64 = 0.05;

/// Compute speed of each rank, relative to the median rank of its group.
#[derive(Clone, Debug, PartialEq)]
pub struct Speeds {
    /// Smoothed measured speeds.
    measured: Vec<f64>,
    /// Speeds that ranks report themselves; they override measured ones.
    reported: Vec<Option<f64>>,
    live: Vec<bool>,
    seconds_per_token: f64,
}

impl Speeds {
    /// Ranks of equal speed, each of which needs `seconds_per_token` for a
    /// token of one layer.
    ///
    /// ```
    /// assert_eq!(expert::Speeds::new(2, 1e-6).relative(0), 1.0);
    /// ```
    #[must_use]
    pub fn new(ranks: usize, seconds_per_token: f64) -> Speeds {
        Speeds {
            measured: vec![1.0; ranks],
            reported: vec![None; ranks],
            live: vec![true; ranks],
            seconds_per_token,
        }
    }

    /// Updates the speeds from one window: the tokens that each rank computed,
    /// and the seconds that it was busy. Ranks without tokens or without busy
    /// time keep their speed.
    ///
    /// ```
    /// let mut speeds = expert::Speeds::new(3, 1e-6);
    /// speeds.observe(&[100.0, 100.0, 100.0], &[1.0, 1.0, 4.0]);
    /// assert!(speeds.relative(2) < 0.7);
    /// ```
    pub fn observe(&mut self, tokens: &[f64], seconds: &[f64]) {
        let rates: Vec<Option<f64>> = tokens
            .iter()
            .zip(seconds)
            .map(|(&tokens, &seconds)| (tokens > 0.0 && seconds > 0.0).then(|| tokens / seconds))
            .collect();
        let Some(median_rate) = median(rates.iter().flatten().copied()) else {
            return;
        };
        let median_seconds = median(seconds.iter().copied().filter(|&s| s > 0.0));
        let per_token = self.seconds_per_token;
        self.seconds_per_token = per_token + NEWEST_WEIGHT * (1.0 / median_rate - per_token);
        for (rank, rate) in rates.iter().enumerate().take(self.measured.len()) {
            let Some(rate) = rate else {
                continue;
            };
            // Some engines report the time of the slowest rank for all ranks.
            // A rank with few tokens would then look slow.
            let differs =
                median_seconds.is_some_and(|s| (seconds[rank] / s - 1.0).abs() > DEAD_ZONE);
            let deviates = self.deviates(rank);
            let speed = if differs || deviates {
                rate / median_rate
            } else {
                1.0
            };
            self.measured[rank] += NEWEST_WEIGHT * (speed - self.measured[rank]);
        }
    }

    /// Records that a rank reports to take `slowdown` times as long as usual
    /// for its work. Zero or less removes the report.
    ///
    /// ```
    /// let mut speeds = expert::Speeds::new(2, 1e-6);
    /// speeds.report_slowdown(1, 4.0);
    /// assert_eq!(speeds.relative(1), 0.25);
    /// speeds.report_slowdown(1, 1.0);
    /// assert_eq!(speeds.relative(1), 1.0);
    /// ```
    pub fn report_slowdown(&mut self, rank: usize, slowdown: f64) {
        if let Some(reported) = self.reported.get_mut(rank) {
            *reported = (slowdown > 0.0).then(|| 1.0 / slowdown);
        }
    }

    fn deviates(&self, rank: usize) -> bool {
        (self.measured[rank] - 1.0).abs() > DEAD_ZONE
    }

    /// Marks a rank as lost: it holds no experts and computes no tokens.
    ///
    /// ```
    /// let mut speeds = expert::Speeds::new(2, 1e-6);
    /// speeds.set_lost(1);
    /// assert_eq!(speeds.live(), &[true, false]);
    /// ```
    pub fn set_lost(&mut self, rank: usize) {
        if let Some(live) = self.live.get_mut(rank) {
            *live = false;
        }
    }

    /// Marks a rank as live again, at the usual speed of its group.
    ///
    /// ```
    /// let mut speeds = expert::Speeds::new(1, 1e-6);
    /// speeds.set_lost(0);
    /// speeds.set_live(0);
    /// assert_eq!(speeds.live(), &[true]);
    /// ```
    pub fn set_live(&mut self, rank: usize) {
        if let Some(live) = self.live.get_mut(rank).filter(|live| !**live) {
            *live = true;
            self.measured[rank] = 1.0;
            self.reported[rank] = None;
        }
    }

    /// Whether each rank is live.
    #[must_use]
    pub fn live(&self) -> &[bool] {
        &self.live
    }

    /// Speed of a rank relative to the usual one, which is 1.
    ///
    /// # Panics
    ///
    /// Panics if there is no such rank.
    #[must_use]
    pub fn relative(&self, rank: usize) -> f64 {
        let speed = self.reported[rank].unwrap_or(self.measured[rank]);
        if (speed - 1.0).abs() > DEAD_ZONE {
            speed.max(MIN_SPEED)
        } else {
            1.0
        }
    }

    /// Seconds that each rank needs for a token of one layer; `None` if lost.
    pub(crate) fn seconds_per_token(&self) -> Vec<Option<f64>> {
        let cost = |rank: usize| {
            let seconds = self.seconds_per_token / self.relative(rank);
            self.live[rank].then_some(seconds)
        };
        (0..self.measured.len()).map(cost).collect()
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied()
}
