//! The retry budget.

use std::time::{Duration, Instant};

/// Bounds retries to a part of the requests.
///
/// When a target or an availability zone fails, each request fails at once
/// and each is retried; without a bound the retries are load of their own,
/// which overloads what still works. Users notice an outage that outlasts
/// its cause. Each request pays a tenth of a retry in; a small reserve, which
/// refills with time, lets a quiet service retry at all.
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
    ratio: f64,
    earned: f64,
    earned_max: f64,
    refill: Duration,
    reserve: f64,
    reserve_max: f64,
    refilled: Instant,
}

/// Retries earned that are kept for later.
const MAX_EARNED: f64 = 100.0;
/// Time in which one retry of the reserve comes back.
const REFILL: Duration = Duration::from_secs(1);

impl RetryBudget {
    /// `ratio` retries for each request, and `reserve` beside them.
    #[must_use]
    pub fn new(ratio: f64, reserve: u32, now: Instant) -> Self {
        let reserve = f64::from(reserve);
        RetryBudget {
            ratio,
            earned: 0.0,
            earned_max: MAX_EARNED,
            refill: REFILL,
            reserve,
            reserve_max: reserve,
            refilled: now,
        }
    }

    /// The same with at most `earned` retries kept for later, and one of the
    /// reserve back in each `refill`.
    ///
    /// Where targets bear so many retries in any ten seconds, those that quiet
    /// times have earned at all entries must not come in one burst.
    #[must_use]
    pub fn bounded(mut self, earned: f64, refill: Duration) -> Self {
        self.earned_max = earned;
        self.refill = refill;
        self
    }

    /// Counts a request.
    pub fn deposit(&mut self) {
        self.earned = (self.earned + self.ratio).min(self.earned_max);
    }

    /// Takes one retry, if there is one.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        self.refill(now);
        for purse in [&mut self.earned, &mut self.reserve] {
            if is_whole(*purse) {
                *purse = (*purse - 1.0).max(0.0);
                return true;
            }
        }
        false
    }

    /// Whether there is a retry to be taken.
    pub fn can_withdraw(&mut self, now: Instant) -> bool {
        self.refill(now);
        is_whole(self.earned) || is_whole(self.reserve)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled);
        let refill = elapsed.as_secs_f64() / self.refill.as_secs_f64();
        self.reserve = (self.reserve + refill).min(self.reserve_max);
        self.refilled = now;
    }
}

/// Sums of tenths fall short of a whole by rounding.
fn is_whole(purse: f64) -> bool {
    let rounding = 1e-9;
    purse + rounding >= 1.0
}
