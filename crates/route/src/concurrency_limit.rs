//! Adaptive concurrency limit of a target.

/// An adaptive concurrency limit with additive increase and multiplicative
/// decrease, as in TCP (RFC 5681). It grows while at least half of it is in use
/// and answers are timely, and shrinks when answers are late or the target
/// reports that it is full.
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

/// Minimum limit. With less, a target would get no requests and its limit could
/// never grow again.
const MIN_LIMIT: f64 = 1.0;
/// Factor applied to the limit on overload.
const DECREASE_FACTOR: f64 = 0.9;

impl ConcurrencyLimit {
    /// Creates a limit of `limit` concurrent requests, which is also its ceiling.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        let limit = f64::from(limit).max(MIN_LIMIT);
        ConcurrencyLimit {
            current: limit,
            ceiling: limit,
        }
    }

    /// The current limit.
    #[must_use]
    pub fn current(&self) -> f64 {
        self.current
    }

    /// Sets the upper bound to the number of concurrent requests that the target
    /// reports it can run.
    pub fn set_ceiling(&mut self, ceiling: f64) {
        let ceiling = ceiling.max(MIN_LIMIT);
        // A limit that was not reduced follows the reported ceiling.
        if self.current >= self.ceiling {
            self.current = ceiling;
        }
        self.ceiling = ceiling;
        self.current = self.current.min(ceiling);
    }

    /// An answer arrived in the expected time while `running` requests ran.
    pub fn on_success(&mut self, running: f64) {
        if running >= self.current / 2.0 {
            self.current = (self.current + 1.0 / self.current).min(self.ceiling);
        }
    }

    /// The target refused a request because it was full, or an answer was far too
    /// late.
    pub fn on_overload(&mut self) {
        self.current = (self.current * DECREASE_FACTOR).max(MIN_LIMIT);
    }
}
