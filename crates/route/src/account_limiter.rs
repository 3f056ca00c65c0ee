//! Enforcement of the limits of one client account.

use std::time::{Duration, Instant};

use crate::{AccountLimits, Refusal, RefusalReason, TokenBucket};

/// Enforces the rate and concurrency limits of one client account.
///
/// ```
/// use route::{AccountLimits, AccountLimiter, RefusalReason};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let limits = AccountLimits { concurrent: 1, ..AccountLimits::default() };
/// let mut limiter = AccountLimiter::new(limits, now);
/// assert!(limiter.acquire(now, 100).is_ok());
/// assert_eq!(limiter.acquire(now, 100).unwrap_err().reason, RefusalReason::Concurrency);
/// limiter.release(100, 80);
/// assert!(limiter.acquire(now, 100).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct AccountLimiter {
    limits: AccountLimits,
    active: u32,
    requests: TokenBucket,
    tokens: TokenBucket,
}

/// Time after which a request refused by the concurrency limit may be retried.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl AccountLimiter {
    /// Creates a limiter with unused limits.
    #[must_use]
    pub fn new(limits: AccountLimits, now: Instant) -> Self {
        AccountLimiter {
            limits,
            active: 0,
            requests: TokenBucket::new(limits.requests_per_s, now),
            tokens: TokenBucket::new(limits.tokens_per_s, now),
        }
    }

    /// The limits in force.
    #[must_use]
    pub fn limits(&self) -> &AccountLimits {
        &self.limits
    }

    /// Changes the limits and keeps the current use.
    pub fn set_limits(&mut self, limits: AccountLimits, now: Instant) {
        self.requests.set_rate(limits.requests_per_s, now);
        self.tokens.set_rate(limits.tokens_per_s, now);
        self.limits = limits;
    }

    /// Number of requests that were acquired and not yet released.
    #[must_use]
    pub fn active(&self) -> u32 {
        self.active
    }

    /// Charges a request with an estimate of `tokens` to all limits, or to none if one
    /// of them is reached.
    ///
    /// # Errors
    /// Returns which limit is reached, and when to retry.
    pub fn acquire(&mut self, now: Instant, tokens: u32) -> Result<(), Refusal> {
        if self.limits.concurrent > 0 && self.active >= self.limits.concurrent {
            return Err(Refusal {
                reason: RefusalReason::Concurrency,
                retry_after: RETRY_AFTER,
            });
        }
        self.take_rates(now, tokens)?;
        self.active += 1;
        Ok(())
    }

    /// Ends a request that was acquired with `estimated` tokens and used `used`.
    pub fn release(&mut self, estimated: u32, used: u32) {
        self.active = self.active.saturating_sub(1);
        self.settle(estimated, used);
    }

    /// Charges a request to the rate limits only.
    pub(crate) fn take_rates(&mut self, now: Instant, tokens: u32) -> Result<(), Refusal> {
        let tokens = f64::from(tokens);
        let refusal = |reason| {
            move |retry_after| Refusal {
                reason,
                retry_after,
            }
        };
        self.requests
            .check(now, 1.0)
            .map_err(refusal(RefusalReason::RequestRate))?;
        self.tokens
            .check(now, tokens)
            .map_err(refusal(RefusalReason::TokenRate))?;
        self.requests.charge(1.0);
        self.tokens.charge(tokens);
        Ok(())
    }

    /// Returns the charge of a request that did not run.
    pub(crate) fn refund(&mut self, tokens: u32) {
        self.requests.refund(1.0);
        self.tokens.refund(f64::from(tokens));
    }

    /// Corrects the charge of a request from its estimated to its used tokens.
    pub(crate) fn settle(&mut self, estimated: u32, used: u32) {
        if used > estimated {
            self.tokens.charge(f64::from(used - estimated));
        } else {
            self.tokens.refund(f64::from(estimated - used));
        }
    }
}
