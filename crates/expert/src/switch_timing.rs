//! Times of a map switch.

use std::time::Duration;

/// Times of a map switch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SwitchTiming {
    /// Before an unanswered message or question is sent again.
    pub resend_interval: Duration,
    /// Time for staging or for holding before the switch is aborted.
    pub phase_timeout: Duration,
    /// Time without an answer after which an order to an engine is given up.
    pub command_timeout: Duration,
    /// How long after that it may still be obeyed. No other order is given
    /// in the meantime.
    pub late_command_window: Duration,
    /// Steps between the newest that is known to have run and the barrier.
    pub lead_steps: u64,
    /// Time that these steps may take; with slow steps they are fewer.
    pub lead_time: Duration,
}

/// With fewer steps the barrier may be past before all ranks have promised.
const LEAST_LEAD: u64 = 2;
/// Steps of a formation that were not timed yet: most likely they are slow, as
/// it runs on its start map.
const UNTIMED_LEAD: u64 = 3;

impl SwitchTiming {
    /// Steps between the newest that is known to have run and the barrier, where
    /// a step takes `step`.
    ///
    /// ```
    /// use expert::SwitchTiming;
    /// use std::time::Duration;
    ///
    /// let timing = SwitchTiming {
    ///     lead_steps: 5,
    ///     lead_time: Duration::from_millis(300),
    ///     ..SwitchTiming::default()
    /// };
    /// assert_eq!(timing.barrier_lead(Some(Duration::from_millis(50))), 5);
    /// assert_eq!(timing.barrier_lead(Some(Duration::from_millis(140))), 2);
    /// ```
    #[must_use]
    pub fn barrier_lead(&self, step: Option<Duration>) -> u64 {
        if self.lead_time == Duration::MAX {
            return self.lead_steps;
        }
        let fits = step.map_or(UNTIMED_LEAD, |step| {
            let steps = self.lead_time.as_micros() / step.as_micros().max(1);
            u64::try_from(steps).unwrap_or(self.lead_steps)
        });
        fits.max(LEAST_LEAD).min(self.lead_steps)
    }
}

impl Default for SwitchTiming {
    fn default() -> SwitchTiming {
        SwitchTiming {
            resend_interval: Duration::from_millis(500),
            phase_timeout: Duration::from_mins(1),
            command_timeout: Duration::from_secs(30),
            late_command_window: Duration::from_secs(2),
            lead_steps: 100,
            lead_time: Duration::MAX,
        }
    }
}
