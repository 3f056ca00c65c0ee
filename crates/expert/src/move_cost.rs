//! What loading experts costs.

/// What loading experts costs, and how much of it a plan may ask for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveCost {
    /// Bytes of one expert of one layer.
    pub expert_bytes: u64,
    /// Rate limit of the weight store for this group, in bytes a second.
    pub store_bytes_per_s: f64,
    /// Share of step time lost while experts are loaded.
    pub slowdown: f64,
    /// Seconds of step time that a second of the weight store is worth to
    /// everyone else who loads from it.
    pub store_price: f64,
    /// Most bytes that one plan may load, besides experts that no live rank
    /// holds.
    pub max_plan_bytes: u64,
}

impl MoveCost {
    /// Seconds that the weight store needs for one expert.
    #[must_use]
    pub fn load_seconds(&self) -> f64 {
        // Exact up to 2^53 bytes, far beyond an expert.
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

    /// Loads that one plan may ask for.
    pub(crate) fn max_plan_loads(&self) -> u64 {
        self.max_plan_bytes / self.expert_bytes.max(1)
    }
}
