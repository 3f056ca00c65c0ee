//! A caller's connection.

use crate::Timeouts;
use slotmap::new_key_type;
use std::time::{Duration, Instant};

new_key_type! {
    /// Key of a connection.
    pub struct ConnectionKey;
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No byte of a request has arrived.
    Idle,
    /// A request head is being received.
    Head,
    /// A request body is being received.
    Body,
    /// A complete request is being handled.
    Running,
}

#[derive(Debug)]
pub(crate) struct Connection<T> {
    pub(crate) handle: T,
    pub(crate) phase: Phase,
    /// When the phase began, or the last bytes of a body were granted.
    pub(crate) advanced: Instant,
    /// Bytes charged for the connection itself.
    pub(crate) own_bytes: usize,
    /// Bytes charged for request bodies.
    pub(crate) body_bytes: usize,
    /// Whether a request of this connection was successful.
    pub(crate) served: bool,
    /// Whether the connection is being closed to make room.
    pub(crate) closing: bool,
}

/// Order in which connections make room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Standing {
    /// Does not advance and never had a successful request.
    Unproven,
    /// Does not advance.
    Stalled,
    /// Has just begun or advances.
    Advancing,
}

/// Time without progress after which a connection counts as stalled.
const STALL_TIME: Duration = Duration::from_millis(250);

impl<T> Connection<T> {
    /// Whether it may be closed to make room. A complete request is always answered.
    pub(crate) fn is_closable(&self) -> bool {
        !self.closing && self.phase != Phase::Running
    }

    pub(crate) fn stalled_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.advanced)
    }

    pub(crate) fn standing(&self, now: Instant) -> Standing {
        if self.stalled_for(now) < STALL_TIME {
            Standing::Advancing
        } else if self.served {
            Standing::Stalled
        } else {
            Standing::Unproven
        }
    }

    pub(crate) fn bytes(&self) -> usize {
        self.own_bytes + self.body_bytes
    }

    pub(crate) fn deadline(&self, timeouts: &Timeouts) -> Option<Instant> {
        match self.phase {
            Phase::Idle => Some(self.advanced + timeouts.idle),
            Phase::Head => Some(self.advanced + timeouts.head),
            Phase::Body | Phase::Running => None,
        }
    }
}
