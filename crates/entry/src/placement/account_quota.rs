//! This entry's share of the limits of an account.

use std::time::Instant;

use route::{AccountDemand, AccountLimiter, AccountLimits, FULL_QUOTA, Refusal, account_hash};
use wire::proto::AccountUse;

/// This entry's share of the limits of an account, and its use.
#[derive(Debug)]
pub(super) struct AccountQuota {
    hash: u32,
    full_limits: AccountLimits,
    limiter: AccountLimiter,
    demand: AccountDemand,
    /// The fraction granted by control, unless it has expired.
    granted: Option<u32>,
}

impl AccountQuota {
    pub(super) fn new(account: &note::Account, fraction: f64, now: Instant) -> Self {
        let full_limits = account_limits(account);
        AccountQuota {
            hash: account_hash(&account.name),
            full_limits,
            limiter: AccountLimiter::new(scaled(&full_limits, fraction), now),
            demand: AccountDemand::default(),
            granted: None,
        }
    }

    pub(super) fn limiter(&mut self) -> &mut AccountLimiter {
        &mut self.limiter
    }

    pub(super) fn hash(&self) -> u32 {
        self.hash
    }

    /// Acquires a request slot and `tokens` from this entry's share of the limits.
    pub(super) fn acquire(&mut self, now: Instant, tokens: u32) -> Result<(), Refusal> {
        self.demand.record(now, tokens, self.limiter.active());
        self.limiter.acquire(now, tokens)
    }

    /// Applies new limits of the account from the release note, at the same granted
    /// fraction.
    pub(super) fn set_account(&mut self, account: &note::Account, minimum: f64, now: Instant) {
        self.full_limits = account_limits(account);
        self.set_granted_fraction(self.granted, minimum, now);
    }

    /// Applies the granted fraction, but at least `minimum`. An entry that cannot reach
    /// control, or that was granted nothing because other entries still hold all of it,
    /// thus admits as much as it would without grants.
    pub(super) fn set_granted_fraction(
        &mut self,
        granted: Option<u32>,
        minimum: f64,
        now: Instant,
    ) {
        self.granted = granted;
        let granted = f64::from(granted.unwrap_or(0)) / f64::from(FULL_QUOTA);
        let limits = scaled(&self.full_limits, granted.max(minimum));
        if *self.limiter.limits() != limits {
            self.limiter.set_limits(limits, now);
        }
    }

    /// Returns the report for control, or `None` if there is nothing to report.
    ///
    /// Running requests hold their fraction independently of the grant. A smaller grant
    /// does not end them, and without the report another entry would admit the same
    /// number in addition.
    pub(super) fn report(&self, now: Instant) -> Option<AccountUse> {
        let running = self.running_fraction();
        let demand = self
            .demand
            .quota_demand(now, &self.full_limits)
            .max(running);
        let held = self.granted.unwrap_or(0).max(running);
        (demand > 0 || held > 0).then_some(AccountUse {
            account: self.hash,
            demand,
            held,
        })
    }

    /// The fraction of the account's concurrency limit that runs at this entry, in
    /// units of `FULL_QUOTA`.
    fn running_fraction(&self) -> u32 {
        if self.full_limits.concurrent == 0 {
            return 0;
        }
        let fraction = f64::from(self.limiter.active()) / f64::from(self.full_limits.concurrent);
        to_u32((fraction * f64::from(FULL_QUOTA)).ceil()).min(FULL_QUOTA)
    }
}

fn account_limits(account: &note::Account) -> AccountLimits {
    AccountLimits {
        share: f64::from(account.share),
        tokens_per_s: f64::from(account.tokens_per_s),
        requests_per_s: f64::from(account.requests_per_s),
        concurrent: account.concurrent,
    }
}

/// Scales the limits of an account. The concurrency is rounded up so that it never
/// becomes zero.
fn scaled(full_limits: &AccountLimits, fraction: f64) -> AccountLimits {
    AccountLimits {
        share: full_limits.share,
        tokens_per_s: full_limits.tokens_per_s * fraction,
        requests_per_s: full_limits.requests_per_s * fraction,
        concurrent: to_u32((f64::from(full_limits.concurrent) * fraction).ceil()),
    }
}

/// Converts a value to an integer, clamped to the range of `u32`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type"
)]
fn to_u32(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u32::MAX)) as u32
}
