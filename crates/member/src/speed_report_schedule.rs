//! When an agent reports how fast its target is.

use std::time::{Duration, Instant};

/// Between two reports of a target that stays slow: a third of the time that a
/// report holds.
const REPEAT: Duration = Duration::from_secs(1);
/// Slowdowns that differ by a smaller part are taken for equal.
const DIFFERS: f64 = 0.1;

/// When an agent reports how fast its target is: at each change, and again
/// while it is slow.
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
    /// What was confirmed last, and when.
    last: Option<(f64, Instant)>,
}

impl SpeedReportSchedule {
    /// Whether a target that is `slowdown` times slower than usual is to be
    /// reported.
    #[must_use]
    pub fn is_due(&self, slowdown: f64, now: Instant) -> bool {
        let is_slow = slowdown > 1.0 + DIFFERS;
        match self.last {
            None => is_slow,
            Some((told, at)) => {
                let differs = (slowdown - told).abs() > DIFFERS * told;
                let old = now.saturating_duration_since(at) >= REPEAT;
                differs || (is_slow && old)
            }
        }
    }

    /// Takes in that a report was confirmed.
    pub fn confirmed(&mut self, slowdown: f64, now: Instant) {
        self.last = Some((slowdown, now));
    }
}
