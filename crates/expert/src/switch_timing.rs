//! Times of a map switch.

use std::time::Duration;

/// Times of a map switch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SwitchTiming {
    /// Before an unanswered message or question is sent again.
    pub resend: Duration,
    /// Time for staging or for holding before the switch is aborted.
    pub attempt: Duration,
    /// Time without an answer after which an order to an engine is given up.
    pub order: Duration,
    /// How long after that it may still be obeyed. No other order is given
    /// in the meantime.
    pub ghost: Duration,
    /// Steps between the newest that is known to have run and the barrier.
    pub lead_steps: u64,
}

impl Default for SwitchTiming {
    fn default() -> SwitchTiming {
        SwitchTiming {
            resend: Duration::from_millis(500),
            attempt: Duration::from_mins(1),
            order: Duration::from_secs(30),
            ghost: Duration::from_secs(2),
            lead_steps: 100,
        }
    }
}
