//! Limit on the starts after an outage while the targets' load is unknown.

use std::time::{Duration, Instant};

/// Starts that are admitted at once, in seconds of the rate before the outage.
const BURST_SECONDS: f64 = 0.25;
/// Starts that are admitted at once at least. They ask the targets for their load.
const MIN_BURST: f64 = 4.0;
/// Starts that each report of load admits. A target reports its load with each answer,
/// some 100 ms after the start, so starts double in that time.
const STARTS_PER_REPORT: f64 = 2.0;
/// Time after the outage until which starts are limited. The load of all targets in use
/// has been reported by then.
const DURATION: Duration = Duration::from_secs(2);

/// Limits the starts of an entry after an outage to the rate before it, plus two for each
/// report of load since.
///
/// The last reports of load are from before the outage, when the targets declined all
/// requests. Each entry takes all slots for free then, and if each filled them at once, the
/// targets would decline what exceeds their queues.
///
/// ```
/// use route::ReturnRamp;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut ramp = ReturnRamp::new(Some(40.0), now);
/// for _ in 0..10 {
///     assert!(ramp.admits(now));
///     ramp.record_start();
/// }
/// assert!(!ramp.admits(now));
/// assert!(ramp.admits(now + Duration::from_millis(25)));
/// ramp.record_report();
/// assert!(ramp.admits(now));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ReturnRamp {
    since: Instant,
    /// Starts per second before the outage.
    rate: f64,
    started: u32,
    reported: u32,
}

impl ReturnRamp {
    /// Creates a limit for the time after an outage that ends now, given the starts per
    /// second before it if they are known.
    #[must_use]
    pub fn new(rate: Option<f64>, now: Instant) -> ReturnRamp {
        ReturnRamp {
            since: now,
            rate: rate.unwrap_or(0.0),
            started: 0,
            reported: 0,
        }
    }

    /// Whether one more request may start now.
    #[must_use]
    pub fn admits(&self, now: Instant) -> bool {
        if self.is_over(now) {
            return true;
        }
        let elapsed = now.saturating_duration_since(self.since).as_secs_f64();
        let burst = (self.rate * BURST_SECONDS).max(MIN_BURST);
        let reported = f64::from(self.reported) * STARTS_PER_REPORT;
        let admitted = burst + self.rate * elapsed + reported;
        f64::from(self.started) + 1.0 <= admitted
    }

    /// Records that a request was sent.
    pub fn record_start(&mut self) {
        self.started += 1;
    }

    /// Records that a target that has accepted a request reported its load.
    pub fn record_report(&mut self) {
        self.reported += 1;
    }

    /// Whether starts are no longer limited.
    #[must_use]
    pub fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= DURATION
    }
}
