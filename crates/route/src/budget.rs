//! The retry budget.

use crate::RetryLimits;
use std::time::{Duration, Instant};

/// Limits retries to a fraction of the requests.
///
/// When a target or an availability zone fails, all requests fail at once and
/// are retried. Without a limit the retries overload the remaining targets, and
/// the outage outlasts its cause. Each request earns a fraction of a retry, such
/// as a tenth, and a small reserve that refills over time allows retries of
/// services with little traffic.
///
/// ```
/// use route::RetryBudget;
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut budget = RetryBudget::new(0.1, 0, now);
/// assert!(!budget.withdraw(now));
/// for _ in 0..10 {
///     budget.deposit();
/// }
/// assert!(budget.withdraw(now));
/// assert!(!budget.withdraw(now));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries earned per request.
    ratio: f64,
    earned: f64,
    earned_max: f64,
    /// Time in which one retry of the reserve is refilled.
    refill_period: Duration,
    reserve: f64,
    reserve_max: f64,
    refilled_at: Instant,
}

/// Maximum number of earned retries that are kept.
const MAX_EARNED: f64 = 100.0;
/// Time in which one retry of the reserve is refilled.
const REFILL_PERIOD: Duration = Duration::from_secs(1);

impl RetryBudget {
    /// Creates a budget that earns `ratio` retries per request, with a reserve of
    /// up to `reserve` retries that is full at the start.
    #[must_use]
    pub fn new(ratio: f64, reserve: u32, now: Instant) -> Self {
        let reserve = f64::from(reserve);
        RetryBudget {
            ratio,
            earned: 0.0,
            earned_max: MAX_EARNED,
            refill_period: REFILL_PERIOD,
            reserve,
            reserve_max: reserve,
            refilled_at: now,
        }
    }

    /// Keeps at most `max_earned` earned retries, and refills one retry of the
    /// reserve per `refill_period`.
    ///
    /// Targets tolerate a limited number of retries within ten seconds, so those
    /// that all entries have earned in quiet times must not come in one burst.
    #[must_use]
    pub fn bounded(mut self, max_earned: f64, refill_period: Duration) -> Self {
        self.earned_max = max_earned;
        self.refill_period = refill_period;
        self
    }

    /// Sets the limits of the retries that are saved or not earned. What is there already
    /// is kept within them.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # let now = Instant::now();
    /// let mut budget = route::RetryBudget::new(0.1, 3, now);
    /// budget.set_limits(&route::RetryLimits::NONE, now);
    /// assert!(!budget.can_withdraw(now));
    /// ```
    pub fn set_limits(&mut self, limits: &RetryLimits, now: Instant) {
        self.refill(now);
        self.earned_max = limits.saved;
        self.refill_period = limits.refill_period;
        self.reserve_max = limits.reserve;
        self.earned = self.earned.min(self.earned_max);
        self.reserve = self.reserve.min(self.reserve_max);
    }

    /// Counts a request.
    pub fn deposit(&mut self) {
        self.earned = (self.earned + self.ratio).min(self.earned_max);
    }

    /// Takes one retry if one is available, and returns whether it did.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        self.refill(now);
        for balance in [&mut self.earned, &mut self.reserve] {
            if has_one(*balance) {
                *balance = (*balance - 1.0).max(0.0);
                return true;
            }
        }
        false
    }

    /// Whether a retry is available.
    pub fn can_withdraw(&mut self, now: Instant) -> bool {
        self.refill(now);
        has_one(self.earned) || has_one(self.reserve)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refill = elapsed.as_secs_f64() / self.refill_period.as_secs_f64();
        self.reserve = (self.reserve + refill).min(self.reserve_max);
        self.refilled_at = now;
    }
}

/// Whether the balance is at least one. Sums of tenths can fall slightly short
/// of one by rounding.
fn has_one(balance: f64) -> bool {
    let rounding = 1e-9;
    balance + rounding >= 1.0
}
