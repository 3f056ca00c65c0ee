//! Settings of admission.

use std::time::Duration;

/// Settings of an [`Admission`](crate::Admission).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Requests that may wait for a place.
    pub queue: usize,
    /// Part of the places that an account far above its fair share leaves
    /// free for the others.
    pub reserve: f64,
    /// When a shed request is told to come back.
    pub retry_after: Duration,
    /// A queue that was not empty for so long doesn't smooth a burst any more;
    /// it only makes everyone wait.
    pub standing_after: Duration,
    /// Longest wait in such a queue.
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
