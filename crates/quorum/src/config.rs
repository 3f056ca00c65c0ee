//! Timings and limits of a replica.

use std::time::Duration;

/// Timings and limits of a replica; the same on every replica.
///
/// ```
/// let cfg = quorum::Config::default();
/// assert!(cfg.lease_duration() < cfg.election_timeout);
/// ```
#[derive(Clone, Debug)]
pub struct Config {
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout; each wait is drawn from one to two times it.
    pub election_timeout: Duration,
    /// Most entries in one append message.
    pub max_append_entries: usize,
    /// Most bytes of entries in one append message, if it has more than one.
    pub max_append_bytes: usize,
    /// Most append messages in flight to one replica.
    pub max_inflight_appends: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Entries kept in memory before the newest snapshot, so that a replica
    /// that lags a little is served from the log.
    pub trailing_entries: u64,
    /// Whether a replica of another host may take a lost voter's place.
    pub voter_replacement: Option<VoterReplacement>,
}

/// When a caught-up replica of a new host takes the place of a lost voter.
///
/// A host that is gone for good never comes back under its name. Were nobody
/// to take its place, the next loss would cost the majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterReplacement {
    /// Voters wanted; a replica beyond them waits as a learner.
    pub voters: usize,
    /// Silence after which a voter counts as lost.
    pub lost_after: Duration,
}

/// Share of the election timeout, in percent, that a leader lease lasts. The
/// rest covers clocks that run at different rates.
const LEASE_PERCENT: u32 = 90;

impl Config {
    /// How long a leader lease lasts from the start of the heartbeat round
    /// that a majority answered.
    #[must_use]
    pub fn lease_duration(&self) -> Duration {
        self.election_timeout * LEASE_PERCENT / 100
    }
}

impl Default for Config {
    fn default() -> Self {
        Config {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout: Duration::from_secs(1),
            max_append_entries: 512,
            max_append_bytes: 512 * 1024,
            max_inflight_appends: 16,
            snapshot_chunk_bytes: 256 * 1024,
            trailing_entries: 512,
            voter_replacement: None,
        }
    }
}
