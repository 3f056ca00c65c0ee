//! Decides when an agent reports the speed of its target.

use std::time::{Duration, Instant};

/// Interval between reports of a target that stays slow: a third of
/// [`TargetSpeed::VALIDITY`](crate::TargetSpeed::VALIDITY).
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Relative difference up to which two slowdowns count as equal.
const TOLERANCE: f64 = 0.1;

/// Decides when an agent reports the speed of its target: at each change, and
/// repeatedly while the target is slow.
///
/// ```
/// use member::SpeedReportSchedule;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut reports = SpeedReportSchedule::default();
/// assert!(!reports.is_due(1.0, now));
/// assert!(reports.is_due(4.0, now));
/// reports.confirmed(4.0, now);
/// assert!(!reports.is_due(4.0, now));
/// assert!(reports.is_due(4.0, now + Duration::from_secs(1)));
/// assert!(reports.is_due(1.0, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SpeedReportSchedule {
    /// Slowdown that was confirmed last, and when.
    last: Option<(f64, Instant)>,
}

impl SpeedReportSchedule {
    /// Whether the current slowdown has to be reported.
    #[must_use]
    pub fn is_due(&self, slowdown: f64, now: Instant) -> bool {
        let is_slow = slowdown > 1.0 + TOLERANCE;
        match self.last {
            None => is_slow,
            Some((reported, at)) => {
                let differs = (slowdown - reported).abs() > TOLERANCE * reported;
                let repeat = now.saturating_duration_since(at) >= REPEAT_INTERVAL;
                differs || (is_slow && repeat)
            }
        }
    }

    /// Records that a report was confirmed.
    pub fn confirmed(&mut self, slowdown: f64, now: Instant) {
        self.last = Some((slowdown, now));
    }
}
