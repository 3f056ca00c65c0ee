//! Intervals, timeouts and retention times of an agent.

use std::time::Duration;

use cfg::Reader;

use crate::engine::ClientSettings;

/// Intervals, timeouts and retention times of an agent.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Interval of link heartbeats.
    pub heartbeat_interval: Duration,
    /// Interval of lease renewals.
    pub renew_interval: Duration,
    /// Interval at which the target's load is polled.
    pub poll_interval: Duration,
    /// Maximum run time of an attempt that has no deadline or is not repeatable.
    pub max_run_time: Duration,
    /// How long a repeatable attempt may run without a link before it is
    /// cancelled.
    pub detach_grace: Duration,
    /// How long the answer of a repeatable call is kept after it ended.
    pub answer_retention: Duration,
    /// How long the answer of a non-repeatable call is kept after it ended.
    pub unrecorded_retention: Duration,
    /// How long an attempt is remembered as barred or forgotten.
    pub tombstone_retention: Duration,
    /// How long a shutdown waits for running attempts.
    pub shutdown_timeout: Duration,
    /// How long a connection to the target is kept idle.
    pub connection_idle_timeout: Duration,
    /// Timeouts of requests to the target.
    pub client: ClientSettings,
}

impl Timing {
    pub(crate) fn read(r: &mut Reader) -> Self {
        let second = Duration::from_secs(1);
        Timing {
            heartbeat_interval: duration(r, "beat_ms", second / 2),
            renew_interval: duration(r, "renew_ms", second / 2),
            poll_interval: duration(r, "poll_ms", second / 10),
            max_run_time: duration(r, "longest_ms", 300 * second),
            detach_grace: duration(r, "grace_ms", 5 * second),
            answer_retention: duration(r, "ended_ms", 15 * second),
            unrecorded_retention: duration(r, "keep_ms", 900 * second),
            tombstone_retention: duration(r, "remember_ms", 1200 * second),
            shutdown_timeout: duration(r, "shutdown_ms", 60 * second),
            connection_idle_timeout: duration(r, "kept_ms", second / 10),
            client: ClientSettings {
                connect_timeout: duration(r, "connect_ms", second),
                head_timeout: duration(r, "head_ms", 60 * second),
                progress_timeout: duration(r, "progress_ms", 10 * second),
                request_timeout: duration(r, "question_ms", 2 * second),
            },
        }
    }
}

fn duration(r: &mut Reader, key: &str, default: Duration) -> Duration {
    const MAX: Duration = Duration::from_hours(24);
    r.within(key, default, Duration::from_millis(1)..=MAX)
}
