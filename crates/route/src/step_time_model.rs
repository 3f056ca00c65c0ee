//! Model of the step time of a model engine under load.

use std::time::Duration;

/// Linear model of the decode step time of a model engine: a fixed time, plus a
/// time for each running request.
///
/// Popular experts slow down all ranks of a group by a factor that entries do
/// not know. Each entry observes the pauses of its streams, however, from which
/// follow the factor and the number of requests at which streams stay on time.
///
/// ```
/// use route::StepTimeModel;
/// use std::time::Duration;
///
/// let model = StepTimeModel::new(Duration::from_micros(5_850), Duration::from_micros(355));
/// let max_pause = Duration::from_millis(120);
/// // Twelve requests cause pauses of 130 ms, so fewer are needed to be on time.
/// let fits = model.max_concurrency(12.0, Duration::from_millis(130), max_pause);
/// assert!((6.0..9.0).contains(&fits));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepTimeModel {
    /// Fixed part of a step, in seconds.
    base: f64,
    /// Additional time per running request, in seconds.
    per_request: f64,
}

/// Fraction of the maximum pause to aim for. Pauses vary by about 10% with the
/// prompts that are prefilled in between.
const PAUSE_TARGET: f64 = 0.9;

impl StepTimeModel {
    /// Creates a model of an engine whose steps take `base`, plus `per_request` for
    /// each running request.
    #[must_use]
    pub fn new(base: Duration, per_request: Duration) -> StepTimeModel {
        StepTimeModel {
            base: base.as_secs_f64(),
            per_request: per_request.as_secs_f64().max(f64::MIN_POSITIVE),
        }
    }

    /// Returns the number of requests at which an engine that is `slowdown` times
    /// slower has the step time of an engine at normal speed with `slots`
    /// requests, or 0 if even a single request takes longer.
    ///
    /// ```
    /// use route::StepTimeModel;
    /// use std::time::Duration;
    ///
    /// let model = StepTimeModel::new(Duration::from_millis(6), Duration::from_millis(1));
    /// assert!((model.equivalent_concurrency(12.0, 1.0) - 12.0).abs() < 1e-9);
    /// assert!((model.equivalent_concurrency(12.0, 1.5) - 6.0).abs() < 1e-9);
    /// assert!(model.equivalent_concurrency(12.0, 4.0) < 1e-9);
    /// ```
    #[must_use]
    pub fn equivalent_concurrency(&self, slots: f64, slowdown: f64) -> f64 {
        let full_step = self.base + self.per_request * slots;
        ((full_step / slowdown - self.base) / self.per_request).max(0.0)
    }

    /// Returns the number of requests at which pauses stay below `max_pause`,
    /// given that `running` requests cause pauses of `pause`.
    #[must_use]
    pub fn max_concurrency(&self, running: f64, pause: Duration, max_pause: Duration) -> f64 {
        let step = self.base + self.per_request * running;
        let pause = pause.as_secs_f64().max(f64::MIN_POSITIVE);
        let scale = PAUSE_TARGET * max_pause.as_secs_f64() / pause;
        (step * scale - self.base) / self.per_request
    }
}
