//! How the pauses of a model engine's streams grow with what it runs.

use std::time::Duration;

/// How the pauses of a model engine's streams grow with what it runs: a step
/// takes a fixed time and more for each request.
///
/// Experts in demand slow all ranks of a group down by a factor that no entry
/// knows, but each entry sees its streams pause. The factor follows from that,
/// and so does the number of requests with which streams stay on time.
///
/// ```
/// use route::StepTimeModel;
/// use std::time::Duration;
///
/// let pace = StepTimeModel::new(Duration::from_micros(5_850), Duration::from_micros(355));
/// let most = Duration::from_millis(120);
/// // Twelve requests make pauses of 130 ms: fewer would be on time.
/// let fits = pace.max_concurrency(12.0, Duration::from_millis(130), most);
/// assert!((6.0..9.0).contains(&fits));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepTimeModel {
    step: f64,
    for_each: f64,
}

/// Part of the longest pause that is aimed at. Pauses vary by a tenth with the
/// prompts that are read in between.
const AIM: f64 = 0.9;

impl StepTimeModel {
    /// An engine whose steps take `step`, and `for_each` request more.
    #[must_use]
    pub fn new(step: Duration, for_each: Duration) -> StepTimeModel {
        StepTimeModel {
            step: step.as_secs_f64(),
            for_each: for_each.as_secs_f64().max(f64::MIN_POSITIVE),
        }
    }

    /// Requests with which an engine that is `slowdown` times slower needs no
    /// longer for a step than one that runs `slots` of them. 0 if even a single
    /// one takes it longer.
    ///
    /// ```
    /// use route::StepTimeModel;
    /// use std::time::Duration;
    ///
    /// let pace = StepTimeModel::new(Duration::from_millis(6), Duration::from_millis(1));
    /// assert!((pace.equivalent_concurrency(12.0, 1.0) - 12.0).abs() < 1e-9);
    /// assert!((pace.equivalent_concurrency(12.0, 1.5) - 6.0).abs() < 1e-9);
    /// assert!(pace.equivalent_concurrency(12.0, 4.0) < 1e-9);
    /// ```
    #[must_use]
    pub fn equivalent_concurrency(&self, slots: f64, slowdown: f64) -> f64 {
        let full = self.step + self.for_each * slots;
        ((full / slowdown - self.step) / self.for_each).max(0.0)
    }

    /// Requests with which pauses stay below `most`, if `running` of them make
    /// pauses of `pause`.
    #[must_use]
    pub fn max_concurrency(&self, running: f64, pause: Duration, most: Duration) -> f64 {
        let now = self.step + self.for_each * running;
        let longer = AIM * most.as_secs_f64() / pause.as_secs_f64().max(f64::MIN_POSITIVE);
        (now * longer - self.step) / self.for_each
    }
}
