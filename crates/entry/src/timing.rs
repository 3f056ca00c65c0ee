//! Times of an entry.

use std::time::Duration;

use cfg::Reader;

/// Times of an entry.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Between two heartbeats of a link; three without a byte close it.
    pub beat: Duration,
    /// Between two renewals of the lease.
    pub renew: Duration,
    /// How long an agent may stay unreachable before its attempts are lost.
    pub link_grace: Duration,
    /// For an agent to say whether it takes an attempt.
    pub start: Duration,
    /// Without a byte of an answer before the attempt is given up.
    pub stall: Duration,
    /// Longest wait for a place at a target.
    pub queue_wait: Duration,
    /// A queue that was not empty for so long is kept short.
    pub standing_after: Duration,
    /// Longest wait for a place in such a queue.
    pub standing_wait: Duration,
    /// For a chat completion whose caller states no time.
    pub chat_timeout: Duration,
    /// Longest time that a caller may ask for.
    pub timeout_max: Duration,
    /// For a caller to send its request.
    pub receive: Duration,
    /// How long callers may keep the address list.
    pub address_ttl: Duration,
    /// For requests in progress to end when the entry shuts down, after the
    /// address list has run out.
    pub drain: Duration,
    /// For the durable state to take a command.
    pub commit: Duration,
    /// Network distance assumed to a target in another availability zone.
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
