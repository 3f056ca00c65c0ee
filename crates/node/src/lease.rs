//! How long this node may take new work.

use std::time::{Duration, Instant};

/// The permission to take new work, with its end on this node's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    end: Option<Instant>,
    term: u64,
}

impl Lease {
    /// Extends the lease by a grant of a leader of `term`, counted from when the
    /// renewal was *sent*.
    ///
    /// The leader counts from when it answered, which is later: so this node's lease
    /// is over before the leader takes it to be, and "in force everywhere" is never
    /// reported while this node still works by an older note. A grant of a former
    /// leader that arrives late changes nothing.
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

    /// True while the lease lasts.
    #[must_use]
    pub fn holds(&self, now: Instant) -> bool {
        self.end.is_some_and(|end| now < end)
    }
}
