//! Intervals and timeouts of an entry.

use std::time::Duration;

use cfg::Reader;

/// Intervals and timeouts of an entry.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Interval between heartbeats on a link. A link is closed after three intervals
    /// without a byte.
    pub beat: Duration,
    /// Interval between lease renewals.
    pub renew: Duration,
    /// Time for which an agent may be unreachable before its attempts count as lost.
    pub link_grace: Duration,
    /// Timeout for an agent to accept or refuse an attempt.
    pub start: Duration,
    /// Time without a byte of an answer after which the attempt is abandoned.
    pub stall: Duration,
    /// Maximum time that a request waits for capacity of a target.
    pub queue_wait: Duration,
    /// Time after which a queue that has not been empty counts as standing, and its
    /// requests wait for a shorter time.
    pub standing_after: Duration,
    /// Maximum time that a request waits in a standing queue.
    pub standing_wait: Duration,
    /// Timeout of a chat completion for which the caller sets none.
    pub chat_timeout: Duration,
    /// Maximum timeout that a caller may set.
    pub timeout_max: Duration,
    /// Timeout for receiving a request from a caller.
    pub receive: Duration,
    /// Time for which callers may cache the address list.
    pub address_ttl: Duration,
    /// Timeout for running requests to end during a shutdown, counted from the expiry
    /// of the address list.
    pub drain: Duration,
    /// Timeout for control to commit a command.
    pub commit: Duration,
    /// Network latency assumed for a target in another availability zone.
    pub zone_distance: Duration,
}

impl Timing {
    pub(crate) fn read(r: &mut Reader) -> Self {
        let ms = Duration::from_millis;
        let mut at_least = |key: &str, default: Duration, least: Duration| {
            r.within(key, default, least..=Duration::from_hours(24))
        };
        Timing {
            beat: at_least("beat_ms", ms(500), ms(10)),
            renew: at_least("renew_ms", ms(500), ms(10)),
            link_grace: at_least("link_grace_ms", ms(3000), ms(10)),
            start: at_least("start_ms", ms(2000), ms(10)),
            stall: at_least("stall_ms", ms(30_000), ms(100)),
            queue_wait: at_least("queue_wait_ms", ms(5000), ms(1)),
            standing_after: at_least("standing_after_ms", ms(20_000), ms(1)),
            standing_wait: at_least("standing_wait_ms", ms(1000), ms(1)),
            chat_timeout: at_least("chat_timeout_ms", ms(300_000), ms(100)),
            timeout_max: at_least("timeout_max_ms", ms(900_000), ms(100)),
            receive: at_least("receive_ms", ms(30_000), ms(100)),
            address_ttl: at_least("address_ttl_ms", ms(30_000), ms(0)),
            drain: at_least("drain_ms", ms(300_000), ms(0)),
            commit: at_least("commit_ms", ms(5000), ms(100)),
            zone_distance: at_least("zone_distance_ms", ms(5), ms(0)),
        }
    }
}
