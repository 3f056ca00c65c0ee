//! Token bucket.

use std::time::{Duration, Instant};

/// Capacity of the bucket, in seconds' worth of the rate.
const BURST_SECONDS: f64 = 2.0;

/// A token bucket that holds up to two seconds' worth of its rate.
///
/// ```
/// use route::TokenBucket;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut bucket = TokenBucket::new(10.0, now);
/// assert!(bucket.take(now, 20.0).is_ok());
/// let wait = bucket.take(now, 5.0).unwrap_err();
/// assert_eq!(wait, Duration::from_millis(500));
/// ```
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_second: f64,
    level: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket. A rate of 0 is unlimited.
    #[must_use]
    pub fn new(per_second: f64, now: Instant) -> Self {
        TokenBucket {
            per_second,
            level: per_second * BURST_SECONDS,
            refilled_at: now,
        }
    }

    /// Changes the rate and keeps the current use.
    pub fn set_rate(&mut self, per_second: f64, now: Instant) {
        self.refill(now);
        if self.per_second <= 0.0 {
            self.level = per_second * BURST_SECONDS;
        }
        self.per_second = per_second;
        self.level = self.level.min(per_second * BURST_SECONDS);
    }

    /// Takes `amount`. An amount above the capacity of the bucket is taken once
    /// the bucket is full, and leaves it with a negative level.
    ///
    /// # Errors
    /// Returns how long to wait if the level is too low.
    pub fn take(&mut self, now: Instant, amount: f64) -> Result<(), Duration> {
        self.check(now, amount)?;
        self.charge(amount);
        Ok(())
    }

    /// Checks whether [`TokenBucket::take`] would succeed, without taking anything.
    ///
    /// # Errors
    /// Returns how long to wait if the level is too low.
    pub fn check(&mut self, now: Instant, amount: f64) -> Result<(), Duration> {
        if self.per_second <= 0.0 {
            return Ok(());
        }
        self.refill(now);
        let needed = amount.min(self.per_second * BURST_SECONDS);
        if self.level >= needed {
            return Ok(());
        }
        let wait = (needed - self.level) / self.per_second;
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }

    /// Takes `amount` unconditionally; the level may become negative.
    pub fn charge(&mut self, amount: f64) {
        if self.per_second > 0.0 {
            self.level -= amount;
        }
    }

    /// Returns an amount that was taken but not used.
    pub fn refund(&mut self, amount: f64) {
        if self.per_second > 0.0 {
            self.level = (self.level + amount).min(self.per_second * BURST_SECONDS);
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.level = (self.level + elapsed * self.per_second).min(self.per_second * BURST_SECONDS);
        self.refilled_at = self.refilled_at.max(now);
    }
}
