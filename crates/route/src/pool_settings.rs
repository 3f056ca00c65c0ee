//! Settings of a pool.

use std::time::Duration;

/// Settings of a [`Pool`](crate::Pool).
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// Number of targets compared per choice.
    pub samples: usize,
    /// Initial share of a target's capacity for this entry, in (0, 1].
    pub share: f64,
    /// Time over which a cold target is ramped up to full load.
    pub slow_start: Duration,
    /// Number of consecutive failures after which a target is ejected.
    pub ejection_failures: u32,
    /// Duration of the first ejection; doubles with each further one.
    pub ejection: Duration,
    /// Maximum duration of an ejection.
    pub ejection_max: Duration,
    /// Maximum fraction of the targets that may be ejected at the same time.
    pub max_ejected_share: f64,
    /// Maximum load of a target that is chosen by prefix affinity, as a multiple of
    /// the mean load.
    pub affinity_bound: f64,
    /// Step time assumed for a target that reports none.
    pub default_step: Duration,
    /// Initial estimate of the steps per prompt token of a prefill.
    pub steps_per_token: f64,
    /// Load up to which a target is filled, as a multiple of its limit, so that the
    /// next request is already there when one ends.
    pub overcommit: f64,
    /// Initial concurrency limit of a target.
    pub initial_limit: u32,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings {
            samples: 16,
            share: 1.0,
            slow_start: Duration::from_secs(10),
            ejection_failures: 3,
            ejection: Duration::from_secs(2),
            ejection_max: Duration::from_secs(30),
            max_ejected_share: 0.34,
            affinity_bound: 1.25,
            default_step: Duration::from_millis(25),
            steps_per_token: 0.004,
            overcommit: 1.125,
            initial_limit: 64,
        }
    }
}
