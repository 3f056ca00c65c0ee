//! How fast each rank computes.

/// Weight of the newest window.
const WEIGHT: f64 = 0.5;

/// Speeds within this share of the group's are taken for equal: step times
/// hold more than the experts' work, and moving experts after noise costs
/// more than it gives.
const DEAD_ZONE: f64 = 0.08;

/// Slowest speed that is told apart; anything below is as bad as lost.
const SLOWEST: f64 = 0.05;

/// How fast each rank computes, relative to the middle rank of its group.
#[derive(Clone, Debug, PartialEq)]
pub struct Speeds {
    raw: Vec<f64>,
    /// What ranks report themselves, which goes before what is measured.
    reported: Vec<Option<f64>>,
    live: Vec<bool>,
    seconds_per_token: f64,
}

impl Speeds {
    /// Ranks of equal speed that need `seconds_per_token` for each token of
    /// each layer.
    ///
    /// ```
    /// assert_eq!(expert::Speeds::new(2, 1e-6).relative(0), 1.0);
    /// ```
    #[must_use]
    pub fn new(ranks: usize, seconds_per_token: f64) -> Speeds {
        Speeds {
            raw: vec![1.0; ranks],
            reported: vec![None; ranks],
            live: vec![true; ranks],
            seconds_per_token,
        }
    }

    /// Takes in one window: tokens that each rank computed, and the seconds
    /// that it was busy. Ranks without tokens or time keep their speed.
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
        let Some(middle) = middle(rates.iter().flatten().copied()) else {
            return;
        };
        let usual = self::middle(seconds.iter().copied().filter(|&s| s > 0.0));
        let per_token = self.seconds_per_token;
        self.seconds_per_token = per_token + WEIGHT * (1.0 / middle - per_token);
        for (rank, rate) in rates.iter().enumerate().take(self.raw.len()) {
            let Some(rate) = rate else {
                continue;
            };
            // Some engines tell the same time for all ranks, that of the
            // slowest: a rank with few tokens would then pass for slow.
            let differs = usual.is_some_and(|s| (seconds[rank] / s - 1.0).abs() > DEAD_ZONE);
            let known = self.is_unusual(rank);
            let speed = if differs || known { rate / middle } else { 1.0 };
            self.raw[rank] += WEIGHT * (speed - self.raw[rank]);
        }
    }

    /// Takes in that a rank reports to take `slowdown` times longer than usual
    /// for its work.
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

    fn is_unusual(&self, rank: usize) -> bool {
        (self.raw[rank] - 1.0).abs() > DEAD_ZONE
    }

    /// Marks a rank as lost: it holds nothing and computes nothing.
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

    /// Marks a rank as back, at the speed of its group.
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
            self.raw[rank] = 1.0;
            self.reported[rank] = None;
        }
    }

    /// Which ranks run.
    #[must_use]
    pub fn live(&self) -> &[bool] {
        &self.live
    }

    /// Speed of a rank, 1 for the usual one.
    ///
    /// # Panics
    ///
    /// Panics if there is no such rank.
    #[must_use]
    pub fn relative(&self, rank: usize) -> f64 {
        let speed = self.reported[rank].unwrap_or(self.raw[rank]);
        if (speed - 1.0).abs() > DEAD_ZONE {
            speed.max(SLOWEST)
        } else {
            1.0
        }
    }

    /// Seconds that each rank needs for a token of a layer; `None` if lost.
    pub(crate) fn seconds_per_token(&self) -> Vec<Option<f64>> {
        let cost = |rank: usize| {
            let seconds = self.seconds_per_token / self.relative(rank);
            self.live[rank].then_some(seconds)
        };
        (0..self.raw.len()).map(cost).collect()
    }
}

fn middle(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied()
}
