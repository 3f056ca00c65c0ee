//! Timeouts of requests to targets.

use route::StartupGrace;
use std::time::Duration;

/// Timeouts of requests to targets, and delays until callers retry.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// Timeout for opening a connection. Round trips to targets take a few
    /// milliseconds; a connection that takes longer has lost a packet, which is
    /// retransmitted only after a second.
    pub connect: Duration,
    /// Time without data from a target after which a repeatable request is sent
    /// to another target.
    pub inactivity: Duration,
    /// How long an idle connection is kept. Shorter than the targets' own idle
    /// timeout, so that no request is sent on a connection being closed.
    pub idle_connection: Duration,
    /// Earliest retry of a caller whose request found all targets full or was
    /// declined by them: about as long as load bursts, switches of expert maps
    /// and group re-formations last. The latency objective is missed by then, so
    /// an earlier retry gains nothing and fails more often.
    pub retry_after_full: Duration,
    /// Retry delay of a caller whose request found no target or no route table:
    /// about the time until a starting target or entry is known.
    pub retry_after_absent: Duration,
    /// How long requests wait while no route table or no target is known.
    pub absence: StartupGrace,
    /// Length that is assumed of an outage of a service whose requests have different
    /// priorities, until one was measured: a process of a target restarts within seconds,
    /// and its group starts 0.6 s after its last rank is back.
    pub assumed_outage: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            connect: Duration::from_millis(400),
            inactivity: Duration::from_millis(1_500),
            idle_connection: Duration::from_secs(2),
            retry_after_full: Duration::from_secs(1),
            retry_after_absent: Duration::from_secs(1),
            absence: StartupGrace::default(),
            assumed_outage: Duration::from_secs(3),
        }
    }
}
