//! The lease under which this node may accept work.

use std::time::{Duration, Instant};

/// The permission to accept new work, with its end on this node's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    end: Option<Instant>,
    term: u64,
}

impl Lease {
    /// Extends the lease to `length` after `sent`, the time at which the renewal was
    /// *sent* that the leader of `term` granted.
    ///
    /// The leader counts from its answer, which is later. This node's lease therefore
    /// ends before the leader considers it expired, and a release note is never reported
    /// as in use everywhere while this node still uses an older one. A late grant of a
    /// former leader is ignored.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let sent = Instant::now();
    /// let mut lease = node::Lease::default();
    /// lease.extend(4, sent, Duration::from_secs(3));
    /// assert!(lease.holds(sent + Duration::from_secs(2)));
    /// assert!(!lease.holds(sent + Duration::from_secs(3)));
    /// lease.extend(3, sent, Duration::from_secs(9));
    /// assert!(!lease.holds(sent + Duration::from_secs(3)));
    /// ```
    pub fn extend(&mut self, term: u64, sent: Instant, length: Duration) {
        if term < self.term {
            return;
        }
        self.term = term;
        self.end = self.end.max(Some(sent + length));
    }

    /// Whether the lease is valid at `now`.
    #[must_use]
    pub fn holds(&self, now: Instant) -> bool {
        self.end.is_some_and(|end| now < end)
    }
}
