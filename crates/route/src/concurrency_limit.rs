//! How many requests a target is trusted with at once.

/// An adaptive limit of concurrency: additive increase while it is reached
/// and answers come in the expected time, multiplicative decrease when they
/// don't or the target says that it is full (as in TCP, RFC 5681).
///
/// ```
/// use route::ConcurrencyLimit;
///
/// let mut limit = ConcurrencyLimit::new(10);
/// limit.on_overload();
/// assert!(limit.current() < 10.0);
/// limit.on_success(9.0);
/// assert!(limit.current() > 9.0);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct ConcurrencyLimit {
    current: f64,
    ceiling: f64,
}

/// Fewest requests at once: below this a target could never prove itself.
const FLOOR: f64 = 1.0;
const DECREASE: f64 = 0.9;

impl ConcurrencyLimit {
    /// Starts at `limit` requests at once.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        let limit = f64::from(limit).max(FLOOR);
        ConcurrencyLimit {
            current: limit,
            ceiling: limit,
        }
    }

    /// The present limit.
    #[must_use]
    pub fn current(&self) -> f64 {
        self.current
    }

    /// The target's own statement of what it can run at once.
    pub fn set_ceiling(&mut self, ceiling: f64) {
        let ceiling = ceiling.max(FLOOR);
        // A limit that was never cut back follows the target's statement.
        if self.current >= self.ceiling {
            self.current = ceiling;
        }
        self.ceiling = ceiling;
        self.current = self.current.min(ceiling);
    }

    /// An answer came in the expected time while `running` ran.
    pub fn on_success(&mut self, running: f64) {
        if running >= self.current / 2.0 {
            self.current = (self.current + 1.0 / self.current).min(self.ceiling);
        }
    }

    /// The target refused for want of room, or an answer came far too late.
    pub fn on_overload(&mut self) {
        self.current = (self.current * DECREASE).max(FLOOR);
    }
}
