//! Replication progress of another replica, tracked by the leader.

use crate::Config;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How the leader sends entries to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// One append at a time, until the last matching index is found.
    Probe,
    /// Appends are pipelined without waiting for replies.
    Replicate,
    /// The log no longer holds the entries needed; a snapshot is sent in
    /// chunks.
    Snapshot { index: u64, offset: u64 },
}

/// An append with entries that was not acknowledged yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InflightAppend {
    pub(crate) last_index: u64,
    pub(crate) bytes: usize,
    /// The leader's next heartbeat when it was sent.
    pub(crate) sent_before: Instant,
}

/// Replication progress of another replica, tracked by the leader.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) mode: Mode,
    pub(crate) match_index: u64,
    pub(crate) next_index: u64,
    pub(crate) inflight: VecDeque<InflightAppend>,
    pub(crate) probe_in_flight: bool,
    /// Latest heartbeat round that the replica answered.
    pub(crate) answered_round: u64,
    /// When the last message from the replica arrived.
    pub(crate) last_heard: Option<Instant>,
}

impl Progress {
    pub(crate) fn new(next_index: u64) -> Progress {
        Progress {
            mode: Mode::Probe,
            match_index: 0,
            next_index,
            inflight: VecDeque::new(),
            probe_in_flight: false,
            answered_round: 0,
            last_heard: None,
        }
    }

    pub(crate) fn on_accepted(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        while self
            .inflight
            .front()
            .is_some_and(|append| append.last_index <= index)
        {
            self.inflight.pop_front();
        }
        self.probe_in_flight = false;
        if self.mode == Mode::Probe {
            self.mode = Mode::Replicate;
            self.next_index = self.match_index + 1;
        }
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// Handles a rejected append. A delayed rejection never moves the next
    /// index back before entries that have been accepted.
    pub(crate) fn on_rejected(&mut self, hint: u64) {
        if matches!(self.mode, Mode::Snapshot { .. }) {
            return;
        }
        self.next_index = self.next_index.min(hint + 1).max(self.match_index + 1);
        self.become_probe();
    }

    /// Whether another append may be sent.
    pub(crate) fn has_room(&self, cfg: &Config) -> bool {
        let bytes: usize = self.inflight.iter().map(|append| append.bytes).sum();
        self.inflight.len() < cfg.max_inflight_appends && bytes < cfg.max_inflight_bytes
    }

    /// Returns the size of the entries in flight that were sent less than `within` before
    /// the next heartbeat, in bytes.
    pub(crate) fn recent_bytes(&self, next_heartbeat: Instant, within: Duration) -> usize {
        let is_recent = |append: &&InflightAppend| {
            next_heartbeat.saturating_duration_since(append.sent_before) < within
        };
        let recent = self.inflight.iter().filter(is_recent);
        recent.map(|append| append.bytes).sum()
    }

    pub(crate) fn become_probe(&mut self) {
        self.mode = Mode::Probe;
        self.inflight.clear();
        self.probe_in_flight = false;
    }
}
