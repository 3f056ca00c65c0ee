//! Times of requests.

use route::Absence;
use std::time::Duration;

/// Times of requests straight to targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// Time to connect at most. Targets are a few milliseconds away, so a
    /// connection that isn't there by then waits for a packet to be sent
    /// again, a second later.
    pub connect: Duration,
    /// Silence of a target after which a request that may be repeated is sent
    /// to another one.
    pub inactivity: Duration,
    /// How long a connection is kept without use. Shorter than targets keep
    /// theirs, so that no request meets the target's close.
    pub idle_connection: Duration,
    /// When a caller who finds all targets full, or is declined by them, may
    /// come back: about the time that bursts of demand, switches of expert maps
    /// and groups that form anew last. Its objective is missed by then, so that
    /// to come back sooner wins nothing and fails more often.
    pub retry_after_full: Duration,
    /// When a caller who finds no target or no table may come back: about the
    /// time in which a target or entry that starts is known.
    pub retry_after_absent: Duration,
    /// How long requests wait for a table or target of which none is known.
    pub absence: Absence,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            connect: Duration::from_millis(400),
            inactivity: Duration::from_millis(1_500),
            idle_connection: Duration::from_secs(2),
            retry_after_full: Duration::from_secs(1),
            retry_after_absent: Duration::from_secs(1),
            absence: Absence::default(),
        }
    }
}
