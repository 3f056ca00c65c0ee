//! Intervals and timeouts of a replica.

use cfg::Reader;
use std::time::Duration;

/// Intervals and timeouts of a replica, the same on every replica of a cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between two heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// Minimum election timeout.
    pub election_timeout: Duration,
    /// Duration of a node's lease.
    pub lease_duration: Duration,
    /// Maximum duration of a lease in a deployment of many nodes.
    pub max_lease_duration: Duration,
    /// Heartbeat interval of a link; a link that receives nothing for three
    /// intervals is closed.
    pub link_heartbeat: Duration,
    /// Maximum delay before another replica is dialled again.
    pub max_redial_delay: Duration,
    /// Time after which a command that is not committed is answered with an
    /// unknown outcome.
    pub commit_timeout: Duration,
    /// A replica that lacks an entry committed longer ago than this counts as
    /// behind.
    pub max_lag: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout: Duration::from_secs(1),
            lease_duration: Duration::from_secs(3),
            max_lease_duration: Duration::from_secs(3),
            link_heartbeat: Duration::from_millis(500),
            max_redial_delay: Duration::from_secs(1),
            commit_timeout: Duration::from_secs(5),
            max_lag: Duration::from_secs(2),
        }
    }
}

impl Timing {
    pub(crate) fn read(mut r: Reader) -> Timing {
        let default = Timing::default();
        let lease_duration = r.or("lease_ms", default.lease_duration);
        let timing = Timing {
            heartbeat_interval: r.or("heartbeat_ms", default.heartbeat_interval),
            election_timeout: r.or("election_ms", default.election_timeout),
            lease_duration,
            max_lease_duration: r.or("lease_most_ms", lease_duration),
            link_heartbeat: r.or("link_beat_ms", default.link_heartbeat),
            max_redial_delay: r.or("redial_most_ms", default.max_redial_delay),
            commit_timeout: r.or("commit_ms", default.commit_timeout),
            max_lag: r.or("lag_ms", default.max_lag),
        };
        timing.check(&mut r);
        timing
    }

    fn check(&self, r: &mut Reader) {
        const MIN_HEARTBEATS_PER_ELECTION: u32 = 3;
        if self.heartbeat_interval.is_zero() {
            r.finding("heartbeat_ms", "must be above 0");
        }
        if self.election_timeout < self.heartbeat_interval * MIN_HEARTBEATS_PER_ELECTION {
            r.finding("election_ms", "must be at least three times heartbeat_ms");
        }
        if self.lease_duration < self.election_timeout {
            r.finding("lease_ms", "must be at least election_ms");
        }
        if self.max_lease_duration < self.lease_duration {
            r.finding("lease_most_ms", "must be at least lease_ms");
        }
        if self.link_heartbeat.is_zero() {
            r.finding("link_beat_ms", "must be above 0");
        }
        if self.commit_timeout < self.election_timeout {
            r.finding("commit_ms", "must be at least election_ms");
        }
    }
}
