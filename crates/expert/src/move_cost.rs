//! Cost of loading experts.

/// Cost of loading experts, and the limit for a single plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveCost {
    /// Size of one expert of one layer, in bytes.
    pub expert_bytes: u64,
    /// Rate limit of the weight store for this group, in bytes per second.
    pub store_bytes_per_s: f64,
    /// Share of step time lost while experts are loaded.
    pub slowdown: f64,
    /// Price of one second of the weight store's time, in seconds of step time:
    /// what it is worth to the other groups that load from it.
    pub store_price: f64,
    /// Maximum number of bytes that one plan may load. Experts that no live
    /// rank holds are loaded even beyond it.
    pub max_plan_bytes: u64,
}

impl MoveCost {
    /// Seconds that the weight store needs to deliver one expert.
    #[must_use]
    pub fn load_seconds(&self) -> f64 {
        #[allow(clippy::cast_precision_loss, reason = "an expert is below 2^53 bytes")]
        let bytes = self.expert_bytes as f64;
        bytes / self.store_bytes_per_s
    }

    /// Cost of loading one expert, in seconds of step time.
    ///
    /// ```
    /// let cost = expert::MoveCost {
    ///     expert_bytes: 44_000_000,
    ///     store_bytes_per_s: 440e6,
    ///     slowdown: 0.5,
    ///     store_price: 1.5,
    ///     max_plan_bytes: u64::MAX,
    /// };
    /// assert!((cost.seconds() - 0.2).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn seconds(&self) -> f64 {
        self.load_seconds() * (self.slowdown + self.store_price)
    }

    /// Maximum number of experts that one plan may load.
    pub(crate) fn max_plan_loads(&self) -> u64 {
        self.max_plan_bytes / self.expert_bytes.max(1)
    }
}
