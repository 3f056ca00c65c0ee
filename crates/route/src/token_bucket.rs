//! A rate with a burst.

use std::time::{Duration, Instant};

/// Time's worth of the rate that may be used at once.
const BURST: f64 = 2.0;

/// A token bucket that holds two seconds' worth of its rate.
///
/// ```
/// use route::TokenBucket;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut rate = TokenBucket::new(10.0, now);
/// assert!(rate.take(now, 20.0).is_ok());
/// let wait = rate.take(now, 5.0).unwrap_err();
/// assert_eq!(wait, Duration::from_millis(500));
/// ```
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_second: f64,
    level: f64,
    at: Instant,
}

impl TokenBucket {
    /// A full bucket; a rate of 0 is unlimited.
    #[must_use]
    pub fn new(per_second: f64, now: Instant) -> Self {
        TokenBucket {
            per_second,
            level: per_second * BURST,
            at: now,
        }
    }

    /// Changes the rate and keeps what has been used.
    pub fn set_rate(&mut self, per_second: f64, now: Instant) {
        self.refill(now);
        if self.per_second <= 0.0 {
            self.level = per_second * BURST;
        }
        self.per_second = per_second;
        self.level = self.level.min(per_second * BURST);
    }

    /// Takes `amount`, which may be more than the bucket ever holds: then it
    /// is given once the bucket is full and the rest is owed.
    ///
    /// # Errors
    /// How long to wait, when there is not enough.
    pub fn take(&mut self, now: Instant, amount: f64) -> Result<(), Duration> {
        self.check(now, amount)?;
        self.charge(amount);
        Ok(())
    }

    /// Says whether [`TokenBucket::take`] would succeed.
    ///
    /// # Errors
    /// How long to wait, when there is not enough.
    pub fn check(&mut self, now: Instant, amount: f64) -> Result<(), Duration> {
        if self.per_second <= 0.0 {
            return Ok(());
        }
        self.refill(now);
        let needed = amount.min(self.per_second * BURST);
        if self.level >= needed {
            return Ok(());
        }
        let wait = (needed - self.level) / self.per_second;
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }

    /// Takes `amount` even when it is not there; it is owed then.
    pub fn charge(&mut self, amount: f64) {
        if self.per_second > 0.0 {
            self.level -= amount;
        }
    }

    /// Gives back what was taken for nothing.
    pub fn refund(&mut self, amount: f64) {
        if self.per_second > 0.0 {
            self.level = (self.level + amount).min(self.per_second * BURST);
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + elapsed * self.per_second).min(self.per_second * BURST);
        self.at = self.at.max(now);
    }
}
