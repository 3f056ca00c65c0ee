//! What one client account has used of its limits.

use std::time::Instant;

use crate::{AccountLimits, Refusal, RefusalReason, TokenBucket};

/// Rates and concurrency of one client account.
///
/// ```
/// use route::{AccountLimits, AccountLimiter, RefusalReason};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let limits = AccountLimits { concurrent: 1, ..AccountLimits::default() };
/// let mut ration = AccountLimiter::new(limits, now);
/// assert!(ration.acquire(now, 100).is_ok());
/// assert_eq!(ration.acquire(now, 100).unwrap_err().reason, RefusalReason::Concurrency);
/// ration.release(100, 80);
/// assert!(ration.acquire(now, 100).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct AccountLimiter {
    limits: AccountLimits,
    present: u32,
    requests: TokenBucket,
    tokens: TokenBucket,
}

impl AccountLimiter {
    /// Of which nothing is used yet.
    #[must_use]
    pub fn new(limits: AccountLimits, now: Instant) -> Self {
        AccountLimiter {
            limits,
            present: 0,
            requests: TokenBucket::new(limits.requests_per_s, now),
            tokens: TokenBucket::new(limits.tokens_per_s, now),
        }
    }

    /// The limits in force.
    #[must_use]
    pub fn limits(&self) -> &AccountLimits {
        &self.limits
    }

    /// Changes the limits and keeps what is used.
    pub fn set_limits(&mut self, limits: AccountLimits, now: Instant) {
        self.requests.set_rate(limits.requests_per_s, now);
        self.tokens.set_rate(limits.tokens_per_s, now);
        self.limits = limits;
    }

    /// Requests that have entered and not left.
    #[must_use]
    pub fn active(&self) -> u32 {
        self.present
    }

    /// Takes a request's part of all limits, or of none.
    ///
    /// # Errors
    /// Which limit is reached, and when to come back.
    pub fn acquire(&mut self, now: Instant, tokens: u32) -> Result<(), Refusal> {
        if self.limits.concurrent > 0 && self.present >= self.limits.concurrent {
            return Err(Refusal {
                reason: RefusalReason::Concurrency,
                retry_after: RETRY_AFTER,
            });
        }
        self.take_rates(now, tokens)?;
        self.present += 1;
        Ok(())
    }

    /// Ends a request that entered with `estimated` tokens and used `used`.
    pub fn release(&mut self, estimated: u32, used: u32) {
        self.present = self.present.saturating_sub(1);
        self.settle(estimated, used);
    }

    pub(crate) fn take_rates(&mut self, now: Instant, tokens: u32) -> Result<(), Refusal> {
        let tokens = f64::from(tokens);
        let refused = |reason| {
            move |retry_after| Refusal {
                reason,
                retry_after,
            }
        };
        self.requests
            .check(now, 1.0)
            .map_err(refused(RefusalReason::RequestRate))?;
        self.tokens
            .check(now, tokens)
            .map_err(refused(RefusalReason::TokenRate))?;
        self.requests.charge(1.0);
        self.tokens.charge(tokens);
        Ok(())
    }

    pub(crate) fn refund(&mut self, tokens: u32) {
        self.requests.refund(1.0);
        self.tokens.refund(f64::from(tokens));
    }

    /// Charges or gives back what the estimate of a request's tokens missed.
    pub(crate) fn settle(&mut self, estimated: u32, used: u32) {
        if used > estimated {
            self.tokens.charge(f64::from(used - estimated));
        } else {
            self.tokens.refund(f64::from(estimated - used));
        }
    }
}

/// When to come back for a free place of the account's own.
const RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);
