//! Times of a replica.

use cfg::Reader;
use std::time::Duration;

/// Times of a replica; the same on every replica of a cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between two heartbeats of the leader.
    pub heartbeat: Duration,
    /// Shortest election timeout.
    pub election: Duration,
    /// Lease of a node.
    pub lease: Duration,
    /// Heartbeat of a link; three without a byte close it.
    pub link_beat: Duration,
    /// Longest pause before another replica is dialled again.
    pub redial_most: Duration,
    /// After this a command that isn't committed is answered as unknown.
    pub commit: Duration,
    /// A replica that lacks what was committed so long ago is behind.
    pub lag: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat: Duration::from_millis(100),
            election: Duration::from_secs(1),
            lease: Duration::from_secs(3),
            link_beat: Duration::from_millis(500),
            redial_most: Duration::from_secs(1),
            commit: Duration::from_secs(5),
            lag: Duration::from_secs(2),
        }
    }
}

impl Timing {
    pub(crate) fn read(mut r: Reader) -> Timing {
        let default = Timing::default();
        let timing = Timing {
            heartbeat: r.or("heartbeat_ms", default.heartbeat),
            election: r.or("election_ms", default.election),
            lease: r.or("lease_ms", default.lease),
            link_beat: r.or("link_beat_ms", default.link_beat),
            redial_most: r.or("redial_most_ms", default.redial_most),
            commit: r.or("commit_ms", default.commit),
            lag: r.or("lag_ms", default.lag),
        };
        timing.check(&mut r);
        timing
    }

    fn check(&self, r: &mut Reader) {
        const BEATS_IN_ELECTION: u32 = 3;
        if self.heartbeat.is_zero() {
            r.finding("heartbeat_ms", "must be above 0");
        }
        if self.election < self.heartbeat * BEATS_IN_ELECTION {
            r.finding("election_ms", "must be at least three times heartbeat_ms");
        }
        if self.lease < self.election {
            r.finding("lease_ms", "must be at least election_ms");
        }
        if self.link_beat.is_zero() {
            r.finding("link_beat_ms", "must be above 0");
        }
        if self.commit < self.election {
            r.finding("commit_ms", "must be at least election_ms");
        }
    }
}
