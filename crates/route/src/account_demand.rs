//! Demand of an account at one entry.

use std::time::{Duration, Instant};

use crate::{AccountLimits, FULL_QUOTA};

/// Time constant of the moving average.
const WINDOW: Duration = Duration::from_secs(1);
/// Fraction of the limits below which the demand counts as zero.
const MIN_FRACTION: f64 = 1e-5;

/// Demand of an account at one entry, as an exponential moving average. Refused
/// requests are included.
#[derive(Clone, Copy, Debug, Default)]
pub struct AccountDemand {
    updated_at: Option<Instant>,
    requests: f64,
    tokens: f64,
    concurrent: f64,
}

impl AccountDemand {
    /// Records a request that arrives while `active` requests are running.
    ///
    /// ```
    /// use route::{AccountDemand, AccountLimits, FULL_QUOTA};
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// let limits = AccountLimits { concurrent: 4, ..AccountLimits::default() };
    /// let mut demand = AccountDemand::default();
    /// demand.record(now, 100, 1);
    /// assert_eq!(demand.quota_demand(now, &limits), FULL_QUOTA / 2);
    /// ```
    pub fn record(&mut self, now: Instant, tokens: u32, active: u32) {
        *self = self.decayed(now);
        self.requests += 1.0;
        self.tokens += f64::from(tokens);
        self.concurrent = self.concurrent.max(f64::from(active) + 1.0);
    }

    /// Returns the demand as a share of the limits, in units of [`FULL_QUOTA`]. It is the
    /// largest of the shares of each limit.
    ///
    /// ```
    /// use route::{AccountDemand, AccountLimits};
    /// use std::time::Instant;
    ///
    /// let limits = AccountLimits::default();
    /// assert_eq!(AccountDemand::default().quota_demand(Instant::now(), &limits), 0);
    /// ```
    #[must_use]
    pub fn quota_demand(&self, now: Instant, limits: &AccountLimits) -> u32 {
        let decayed = self.decayed(now);
        let seconds = WINDOW.as_secs_f64();
        let fraction_of = |used: f64, limit: f64| if limit > 0.0 { used / limit } else { 0.0 };
        let fraction = fraction_of(decayed.requests / seconds, limits.requests_per_s)
            .max(fraction_of(decayed.tokens / seconds, limits.tokens_per_s))
            .max(fraction_of(
                decayed.concurrent,
                f64::from(limits.concurrent),
            ));
        if fraction < MIN_FRACTION {
            return 0;
        }
        to_quota(fraction)
    }

    fn decayed(&self, now: Instant) -> AccountDemand {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let decay = (-age.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        AccountDemand {
            updated_at: Some(self.updated_at.map_or(now, |at| at.max(now))),
            requests: self.requests * decay,
            tokens: self.tokens * decay,
            concurrent: self.concurrent * decay,
        }
    }
}

/// Converts a fraction to units of [`FULL_QUOTA`]; at least one unit and at most all.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type"
)]
fn to_quota(fraction: f64) -> u32 {
    let full = f64::from(FULL_QUOTA);
    (fraction * full).ceil().clamp(1.0, full) as u32
}
