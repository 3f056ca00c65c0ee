//! What a leader knows of one other replica.

use std::collections::VecDeque;
use std::time::Instant;

/// How the leader sends to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// One append at a time, until the place where the logs agree is found.
    Probe,
    /// Appends follow each other without waiting for replies.
    Replicate,
    /// The log no longer reaches back far enough: a snapshot goes in pieces.
    Snapshot { index: u64, offset: u64 },
}

/// What a leader knows of one other replica.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) mode: Mode,
    pub(crate) match_index: u64,
    pub(crate) next: u64,
    /// Last index of each append in flight.
    pub(crate) inflight: VecDeque<u64>,
    /// A probe is in flight.
    pub(crate) waiting: bool,
    /// Newest heartbeat round that it answered.
    pub(crate) round: u64,
    /// When it was last heard.
    pub(crate) heard: Option<Instant>,
}

impl Progress {
    pub(crate) fn new(next: u64) -> Progress {
        Progress {
            mode: Mode::Probe,
            match_index: 0,
            next,
            inflight: VecDeque::new(),
            waiting: false,
            round: 0,
            heard: None,
        }
    }

    pub(crate) fn accepted(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        while self.inflight.front().is_some_and(|last| *last <= index) {
            self.inflight.pop_front();
        }
        self.waiting = false;
        if self.mode == Mode::Probe {
            self.mode = Mode::Replicate;
            self.next = self.match_index + 1;
        }
        self.next = self.next.max(self.match_index + 1);
    }

    /// A refusal that arrives late can't take back what has been accepted.
    pub(crate) fn refused(&mut self, hint: u64) {
        if matches!(self.mode, Mode::Snapshot { .. }) {
            return;
        }
        self.next = self.next.min(hint + 1).max(self.match_index + 1);
        self.probe();
    }

    pub(crate) fn probe(&mut self) {
        self.mode = Mode::Probe;
        self.inflight.clear();
        self.waiting = false;
    }
}
