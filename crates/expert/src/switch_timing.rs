//! Timing parameters of a map switch.

use crate::MAX_DIRECT_AGENTS;
use std::time::Duration;

/// Timing parameters of a map switch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SwitchTiming {
    /// Interval after which an unanswered message or request is sent again.
    pub resend_interval: Duration,
    /// Time after which a participant that has no outcome reads the decision from the
    /// durable state, and interval of further reads. If the outcome reached all
    /// participants of a large group somewhat late, their reads would delay it further.
    pub group_read_delay: Duration,
    /// Time limit of staging and of holding, after which the switch is aborted.
    pub phase_timeout: Duration,
    /// Time after which an unanswered command to an engine is considered lost.
    pub command_timeout: Duration,
    /// How long after that the engine may still execute the command. Until
    /// then only reads are sent to the engine.
    pub late_command_window: Duration,
    /// Maximum number of steps between the newest step known to have run and
    /// the barrier.
    pub lead_steps: u64,
    /// Time that these steps may take; slow steps reduce their number.
    /// `Duration::MAX` always uses `lead_steps`.
    pub lead_time: Duration,
}

/// Minimum lead while steps are fast: the next step could begin before the first
/// rank has promised to stop there.
const MIN_LEAD_STEPS: u64 = 2;
/// Step time from which on that is unlikely. The first promise stops the whole group,
/// and the rank beside the coordinator gives it within a few milliseconds.
const LONG_STEP: Duration = Duration::from_millis(150);
/// The interval grows by its usual value for each further so many agents.
const AGENTS_PER_INTERVAL: usize = 16;
/// Lead while the step time is unknown. Steps are probably slow then, since a
/// new formation runs on its initial map.
const UNKNOWN_STEP_TIME_LEAD_STEPS: u64 = 1;
/// Ranks may wait at the barrier for a step time divided by this. A further step on
/// the former map would cost more.
const MAX_WAIT_DIVISOR: u32 = 4;

impl SwitchTiming {
    /// Interval after which a map that has not been staged by all of `agents` agents
    /// is sent again. It grows with the group, because sending the map to all of
    /// them takes longer.
    ///
    /// ```
    /// use expert::SwitchTiming;
    ///
    /// let timing = SwitchTiming::default();
    /// assert_eq!(timing.stage_resend_interval(24), timing.resend_interval);
    /// assert_eq!(timing.stage_resend_interval(96), timing.resend_interval * 6);
    /// ```
    #[must_use]
    pub fn stage_resend_interval(&self, agents: usize) -> Duration {
        if agents <= MAX_DIRECT_AGENTS {
            return self.resend_interval;
        }
        let parts = agents.div_ceil(AGENTS_PER_INTERVAL);
        self.resend_interval * u32::try_from(parts).unwrap_or(u32::MAX)
    }

    /// Number of steps between the newest step known to have run and the
    /// barrier, if a step takes `step_time`.
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
    /// let (step, exchange) = (Duration::from_millis(50), Duration::from_millis(420));
    /// assert_eq!(timing.barrier_lead_in_large_group(Some(step), Some(exchange)), 9);
    /// ```
    ///
    /// `exchange_time` is how long holding, the decision and the outcome take in a
    /// large group. If the lead were shorter, all ranks would wait at the barrier for
    /// the rest of that time.
    #[must_use]
    pub fn barrier_lead_in_large_group(
        &self,
        step_time: Option<Duration>,
        exchange_time: Option<Duration>,
    ) -> u64 {
        let lead = self.barrier_lead(step_time);
        let Some((step_time, exchange_time)) = step_time.zip(exchange_time) else {
            return lead;
        };
        let steps = exchange_time
            .min(self.phase_timeout)
            .saturating_sub(step_time / MAX_WAIT_DIVISOR)
            .as_micros()
            .div_ceil(step_time.as_micros().max(1));
        lead.max(u64::try_from(steps).unwrap_or(u64::MAX))
    }

    /// Number of steps between the newest step known to have run and the barrier in a
    /// group whose ranks are reached directly.
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
    /// assert_eq!(timing.barrier_lead(Some(Duration::from_millis(800))), 1);
    /// ```
    #[must_use]
    pub fn barrier_lead(&self, step_time: Option<Duration>) -> u64 {
        if self.lead_time == Duration::MAX {
            return self.lead_steps;
        }
        let fits = step_time.map_or(UNKNOWN_STEP_TIME_LEAD_STEPS, |step_time| {
            let steps = self.lead_time.as_micros() / step_time.as_micros().max(1);
            u64::try_from(steps).unwrap_or(self.lead_steps)
        });
        let min = match step_time {
            Some(step_time) if step_time < LONG_STEP => MIN_LEAD_STEPS,
            _ => 1,
        };
        fits.max(min).min(self.lead_steps)
    }
}

impl Default for SwitchTiming {
    fn default() -> SwitchTiming {
        SwitchTiming {
            resend_interval: Duration::from_millis(500),
            group_read_delay: Duration::from_millis(500),
            phase_timeout: Duration::from_mins(1),
            command_timeout: Duration::from_secs(30),
            late_command_window: Duration::from_secs(2),
            lead_steps: 100,
            lead_time: Duration::MAX,
        }
    }
}
