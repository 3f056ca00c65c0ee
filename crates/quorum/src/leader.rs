//! What only a leader holds.

use crate::progress::Progress;
use crate::{DiskId, Members};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// A read that waits until a majority has confirmed the leader.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: u64,
    /// Commit index when it was asked, and the round that must be confirmed;
    /// none until the leader has committed an entry of its own term.
    pub(crate) begun: Option<(u64, u64)>,
}

/// What only a leader holds.
#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) peers: BTreeMap<DiskId, Progress>,
    /// Newest heartbeat round, and when the rounds not yet confirmed began.
    pub(crate) round: u64,
    pub(crate) begun: VecDeque<(u64, Instant)>,
    /// When the newest round began that a majority has confirmed.
    pub(crate) confirmed: Option<(u64, Instant)>,
    pub(crate) next_beat: Instant,
    pub(crate) since: Instant,
    /// Index of this leader's no-op.
    pub(crate) noop: u64,
    pub(crate) reads: Vec<PendingRead>,
    /// Commit index at the newest beat, and at the one before: a learner that
    /// has reached the latter has caught up.
    pub(crate) commit_at_beat: u64,
    pub(crate) commit_before: u64,
}

impl Leader {
    pub(crate) fn begin_round(&mut self, now: Instant) {
        self.round += 1;
        self.begun.push_back((self.round, now));
    }

    /// Moves `confirmed` on to the newest round that a majority answered.
    pub(crate) fn confirm(&mut self, me: DiskId, members: &Members) {
        let answered = |id: DiskId| {
            if id == me {
                return self.round;
            }
            self.peers.get(&id).map_or(0, |p| p.round)
        };
        let Some(round) = members.majority_value(answered) else {
            return;
        };
        while let Some(&(begun, at)) = self.begun.front() {
            if begun > round {
                break;
            }
            self.confirmed = Some((begun, at));
            self.begun.pop_front();
        }
    }

    /// Whether reads wait for a round to begin. Those that come while a round
    /// of others is under way share the next one.
    pub(crate) fn wants_round(&self) -> bool {
        !self.reads.is_empty() && self.reads.iter().all(|r| r.begun.is_none())
    }

    pub(crate) fn confirmed_round(&self) -> u64 {
        self.confirmed.map_or(0, |(round, _)| round)
    }

    /// The lease counts from the start of the round, which is before any
    /// voter heard it: each of that majority refuses its vote for longer.
    pub(crate) fn has_lease(&self, now: Instant, lease: Duration) -> bool {
        self.confirmed
            .is_some_and(|(_, at)| now.saturating_duration_since(at) < lease)
    }

    pub(crate) fn active(&self, id: DiskId, now: Instant, within: Duration) -> bool {
        let heard = self.peers.get(&id).and_then(|p| p.heard);
        heard.is_some_and(|at| now.saturating_duration_since(at) < within)
    }
}
