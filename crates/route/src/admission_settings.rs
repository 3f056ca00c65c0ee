//! Settings of admission control.

use std::time::Duration;

/// Settings of an [`Admission`](crate::Admission).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Maximum number of queued requests.
    pub queue: usize,
    /// Fraction of all slots that an account far above its fair share must leave
    /// free for others.
    pub reserve: f64,
    /// Time after which the caller of a refused request may retry.
    pub retry_after: Duration,
    /// Time without the queue being empty after which it counts as standing: it
    /// no longer smooths a burst but only delays every request.
    pub standing_after: Duration,
    /// Maximum wait in a standing queue.
    pub standing_wait: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        AdmissionSettings {
            queue: 256,
            reserve: 0.25,
            retry_after: Duration::from_secs(1),
            standing_after: Duration::from_secs(20),
            standing_wait: Duration::from_secs(1),
        }
    }
}
