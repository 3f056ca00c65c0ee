//! State of a leader.

use crate::progress::Progress;
use crate::{Config, DiskId};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// A linearizable read that waits until a majority has confirmed the leader.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: u64,
    /// Commit index when the read was started, and the round that must be
    /// confirmed; `None` until the leader has committed an entry of its own
    /// term and the next round starts.
    pub(crate) started: Option<(u64, u64)>,
}

/// State that exists only while a replica leads.
#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) peers: BTreeMap<DiskId, Progress>,
    /// Latest heartbeat round.
    pub(crate) round: u64,
    /// Rounds that no majority has confirmed yet, with their start times.
    pub(crate) unconfirmed_rounds: VecDeque<(u64, Instant)>,
    /// Latest round that a majority has confirmed, with its start time.
    pub(crate) last_confirmed: Option<(u64, Instant)>,
    /// Rounds up to this one started before the latest loss of a voter's disk was known.
    pub(crate) rounds_before_loss: u64,
    /// Rounds up to this one started before the latest membership change was committed.
    pub(crate) rounds_before_members: u64,
    pub(crate) next_heartbeat: Instant,
    pub(crate) last_tick: Instant,
    /// Time since a majority has confirmed a round, as far as this leader was running.
    pub(crate) unconfirmed_for: Duration,
    pub(crate) elected_at: Instant,
    /// When the members last changed, at the earliest when this leader could change them.
    pub(crate) members_changed_at: Instant,
    /// Index of the no-op entry that this leader appended first.
    pub(crate) noop_index: u64,
    pub(crate) pending_reads: Vec<PendingRead>,
    /// Commit index at the latest heartbeat.
    pub(crate) commit_at_heartbeat: u64,
    /// Commit index at the heartbeat before it. A learner that has reached it
    /// has caught up.
    pub(crate) commit_at_previous_heartbeat: u64,
}

impl Leader {
    pub(crate) fn start_round(&mut self, now: Instant) {
        self.round += 1;
        self.unconfirmed_rounds.push_back((self.round, now));
    }

    /// Returns whether a further append with entries may be sent, besides those in flight to
    /// the replicas of `peers` and to `peer`.
    pub(crate) fn has_room(&self, peer: &Progress, cfg: &Config) -> bool {
        let all = self.peers.values().chain([peer]);
        let recent = all.map(|p| p.recent_bytes(self.next_heartbeat, cfg.election_timeout));
        peer.has_room(cfg) && recent.sum::<usize>() < cfg.max_total_inflight_bytes
    }

    /// Returns the latest round that a replica has answered.
    pub(crate) fn answered_round(&self, me: DiskId, id: DiskId) -> u64 {
        if id == me {
            return self.round;
        }
        self.peers.get(&id).map_or(0, |p| p.answered_round)
    }

    /// Records a tick. Returns how long no majority has confirmed a round.
    ///
    /// Of the time before a late tick only `max_step` counts: while this process stood still,
    /// replies may have arrived that it has not processed yet.
    pub(crate) fn record_tick(&mut self, now: Instant, max_step: Duration) -> Duration {
        let step = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        self.unconfirmed_for += step.min(max_step);
        self.unconfirmed_for
    }

    /// Advances `last_confirmed` to a round that a quorum has answered.
    pub(crate) fn confirm_round(&mut self, round: u64) {
        while let Some(&(oldest, started_at)) = self.unconfirmed_rounds.front() {
            if oldest > round {
                break;
            }
            self.last_confirmed = Some((oldest, started_at));
            self.unconfirmed_for = Duration::ZERO;
            self.unconfirmed_rounds.pop_front();
        }
    }

    /// Whether reads wait for a round to start and no read waits for a running
    /// one. Reads that arrive during a round share the next one.
    pub(crate) fn needs_round(&self) -> bool {
        !self.pending_reads.is_empty() && self.pending_reads.iter().all(|r| r.started.is_none())
    }

    pub(crate) fn confirmed_round(&self) -> u64 {
        self.last_confirmed.map_or(0, |(round, _)| round)
    }

    /// Whether the leader lease is valid. The lease starts with the round,
    /// before any voter receives it, so each voter of that majority refuses to
    /// vote for another candidate until after the lease has expired.
    pub(crate) fn has_lease(&self, now: Instant, lease: Duration) -> bool {
        self.last_confirmed
            .is_some_and(|(_, at)| now.saturating_duration_since(at) < lease)
    }

    pub(crate) fn is_active(&self, id: DiskId, now: Instant, within: Duration) -> bool {
        let last_heard = self.peers.get(&id).and_then(|p| p.last_heard);
        last_heard.is_some_and(|at| now.saturating_duration_since(at) < within)
    }
}
