//! Requests in a request queue.

use std::time::Instant;

use slotmap::new_key_type;

use crate::Priority;

new_key_type! {
    /// A waiting request in a [`RequestQueue`](crate::RequestQueue).
    pub struct QueueKey;
}

/// What a [`RequestQueue`](crate::RequestQueue) needs to know about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Its priority.
    pub priority: Priority,
    /// Hash of the client account, 0 for none. Requests without an account share
    /// one place among the accounts.
    pub account: u64,
    /// Weight of the account. Values outside of 0.001 to 1000 are clamped, and
    /// NaN counts as 1.
    pub weight: f64,
    /// Memory held by the request while it waits.
    pub bytes: usize,
    /// Latest start with which the request is on time, or `None` if it is
    /// already late.
    pub on_time_until: Option<Instant>,
    /// Latest useful start, bounded by the deadline or by when the caller leaves.
    pub useful_until: Instant,
}

impl QueuedRequest {
    pub(crate) fn is_on_time(&self, now: Instant) -> bool {
        self.on_time_until.is_some_and(|until| now <= until)
    }

    pub(crate) fn is_expired(&self, now: Instant) -> bool {
        self.useful_until <= now
    }

    /// Virtual time that a start costs the account.
    pub(crate) fn cost(&self) -> f64 {
        start_cost(self.weight)
    }
}

/// Virtual time that a start costs an account of this weight. The bounds keep
/// the virtual time far from where a double no longer resolves single starts.
pub(crate) fn start_cost(weight: f64) -> f64 {
    let weight = if weight.is_nan() { 1.0 } else { weight };
    1.0 / weight.clamp(1e-3, 1e3)
}

/// A request while it waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) request: QueuedRequest,
    /// Position in the order of arrival.
    pub(crate) arrival: u64,
    pub(crate) since: Instant,
}
