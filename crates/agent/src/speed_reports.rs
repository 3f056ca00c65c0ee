//! When an agent reports how fast its target is.

use std::time::{Duration, Instant};

/// Between two reports of a target that stays slow: a third of the time that a
/// report holds.
const REPEAT: Duration = Duration::from_secs(1);
/// Slowdowns that differ by a smaller part are taken for equal.
const DIFFERS: f64 = 0.1;

/// When an agent reports how fast its target is: at each change, and again
/// while it is slow.
#[derive(Debug, Default)]
pub(crate) struct SpeedReports {
    /// What was confirmed last, and when.
    last: Option<(f64, Instant)>,
}

impl SpeedReports {
    pub(crate) fn is_due(&self, slowdown: f64, now: Instant) -> bool {
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

    pub(crate) fn confirmed(&mut self, slowdown: f64, now: Instant) {
        self.last = Some((slowdown, now));
    }
}
