//! Configuration of a replica.

use std::time::Duration;

/// Timings and limits of a replica. All replicas must use the same values.
///
/// ```
/// let cfg = quorum::Config::default();
/// assert!(cfg.lease_duration() < cfg.election_timeout);
/// ```
#[derive(Clone, Debug)]
pub struct Config {
    /// Interval between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Minimum election timeout. Each timeout is chosen at random between one
    /// and two times this value.
    pub election_timeout: Duration,
    /// Maximum number of entries in one append message.
    pub max_append_entries: usize,
    /// Maximum size of the entries in one append message, in bytes. A single
    /// larger entry is sent on its own.
    pub max_append_bytes: usize,
    /// Maximum number of append messages in flight to one replica.
    pub max_inflight_appends: usize,
    /// Maximum size of the entries in flight to one replica, in bytes. A single larger
    /// entry is sent on its own.
    pub max_inflight_bytes: usize,
    /// Maximum size of the entries in flight to all replicas together, in bytes. Beyond it
    /// entries wait until earlier ones are acknowledged or were sent an election timeout
    /// ago, so that heartbeats never wait behind more than that on the link of the leader.
    /// A single larger entry is sent on its own.
    pub max_total_inflight_bytes: usize,
    /// Maximum size of the entries that are not committed yet, in bytes, beyond which a
    /// leader accepts no command. A single larger one is accepted on its own.
    pub max_uncommitted_bytes: usize,
    /// Size of a snapshot chunk in one message, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Number of entries kept in memory before the newest snapshot, so that a
    /// replica that is slightly behind is served from the log.
    pub trailing_entries: u64,
    /// Maximum size of these entries, in bytes.
    pub trailing_bytes: usize,
    /// Whether and when a replica on another host replaces a lost voter.
    pub voter_replacement: Option<VoterReplacement>,
}

/// When a caught-up replica on a new host replaces a lost voter.
///
/// A host that is permanently lost does not rejoin under its name. Without a
/// replacement, losing another voter could lose the majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterReplacement {
    /// Desired number of voters. One further replica is a standby voter if there are at
    /// least three; the others remain learners.
    pub voters: usize,
    /// Time without a message after which a voter counts as lost. A caught-up replica takes
    /// the place of a voter after half of it.
    pub lost_after: Duration,
}

impl VoterReplacement {
    /// Number of disks that must hold a command before it is committed, so that
    /// one is left after as many losses as the voters tolerate.
    pub(crate) fn min_copies(&self) -> usize {
        self.voters / 2 + 1
    }

    /// Time without a message after which a caught-up replica takes the place of a voter.
    ///
    /// With the election of a leader before it, this must be over by the time at which the
    /// new replica no longer counts as lost: the next host may be lost then.
    pub(crate) fn replaced_after(&self) -> Duration {
        self.lost_after / 2
    }
}

/// Duration of a leader lease, in percent of the election timeout. The margin
/// covers clocks that run at different rates.
const LEASE_PERCENT: u32 = 90;

impl Config {
    /// Duration of a leader lease, counted from the start of the heartbeat
    /// round that a majority answered.
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
            max_inflight_bytes: 4 * 1024 * 1024,
            max_total_inflight_bytes: 4 * 1024 * 1024,
            max_uncommitted_bytes: 8 * 1024 * 1024,
            snapshot_chunk_bytes: 256 * 1024,
            trailing_entries: 512,
            trailing_bytes: 8 * 1024 * 1024,
            voter_replacement: None,
        }
    }
}
