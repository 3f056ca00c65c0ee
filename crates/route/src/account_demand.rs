//! What callers of an account ask for at one entry.

use std::time::{Duration, Instant};

use crate::{AccountLimits, FULL_QUOTA};

/// Time over which the use of an account is averaged.
const WINDOW: Duration = Duration::from_secs(1);
/// Parts of the whole below which nobody is taken to ask for anything.
const NOTHING: f64 = 1e-5;

/// What callers of an account ask for at one entry, refused requests included.
#[derive(Clone, Copy, Debug, Default)]
pub struct AccountDemand {
    at: Option<Instant>,
    requests: f64,
    tokens: f64,
    present: f64,
}

impl AccountDemand {
    /// Notes a request that asks to be let in beside those that are `present`.
    ///
    /// ```
    /// use route::{AccountLimits, AccountDemand, FULL_QUOTA};
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// let limits = AccountLimits { concurrent: 4, ..AccountLimits::default() };
    /// let mut usage = AccountDemand::default();
    /// usage.record(now, 100, 1);
    /// assert_eq!(usage.quota_demand(now, &limits), FULL_QUOTA / 2);
    /// ```
    pub fn record(&mut self, now: Instant, tokens: u32, present: u32) {
        *self = self.aged(now);
        self.requests += 1.0;
        self.tokens += f64::from(tokens);
        self.present = self.present.max(f64::from(present) + 1.0);
    }

    /// The part of the limits that is asked for, of [`FULL_QUOTA`]; the largest of that of
    /// each limit.
    ///
    /// ```
    /// use route::{AccountLimits, AccountDemand};
    /// use std::time::Instant;
    ///
    /// let limits = AccountLimits::default();
    /// assert_eq!(AccountDemand::default().quota_demand(Instant::now(), &limits), 0);
    /// ```
    #[must_use]
    pub fn quota_demand(&self, now: Instant, limits: &AccountLimits) -> u32 {
        let aged = self.aged(now);
        let seconds = WINDOW.as_secs_f64();
        let part = |used: f64, limit: f64| if limit > 0.0 { used / limit } else { 0.0 };
        let part = part(aged.requests / seconds, limits.requests_per_s)
            .max(part(aged.tokens / seconds, limits.tokens_per_s))
            .max(part(aged.present, f64::from(limits.concurrent)));
        if part < NOTHING {
            return 0;
        }
        to_parts(part)
    }

    fn aged(&self, now: Instant) -> AccountDemand {
        let age = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let left = (-age.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        AccountDemand {
            at: Some(self.at.map_or(now, |at| at.max(now))),
            requests: self.requests * left,
            tokens: self.tokens * left,
            present: self.present * left,
        }
    }
}

/// At least one part, and no more than all.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type before"
)]
fn to_parts(part: f64) -> u32 {
    let whole = f64::from(FULL_QUOTA);
    (part * whole).ceil().clamp(1.0, whole) as u32
}
