//! Settings of the choice of target.

use std::time::Duration;

/// Settings of a [`Pool`](crate::Pool).
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// Targets compared for each choice.
    pub samples: usize,
    /// This entry's part of all that a target runs, in (0, 1], until it is set.
    pub share: f64,
    /// Time over which a fresh target is brought to its full load.
    pub slow_start: Duration,
    /// Failures in a row after which a target is ejected.
    pub ejection_failures: u32,
    /// First time of ejection; doubles with each further one.
    pub ejection: Duration,
    /// Longest time of ejection.
    pub ejection_max: Duration,
    /// Largest part of the targets that may be ejected at once.
    pub max_ejected_share: f64,
    /// How far above the mean load prefix affinity may lift a target.
    pub affinity_bound: f64,
    /// Step time assumed of a target that reports none.
    pub default_step: Duration,
    /// Steps for each prompt token of a prefill, as first assumed.
    pub steps_per_token: f64,
    /// How far above its limit a target is filled, so that when one request
    /// ends the next one is there already.
    pub overcommit: f64,
    /// Requests at once that a target is first trusted with.
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
