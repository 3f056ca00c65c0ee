//! What this entry may give out of one account's limits.

use std::time::Instant;

use route::{AccountDemand, AccountLimiter, AccountLimits, FULL_QUOTA, Refusal, account_hash};
use wire::proto::AccountUse;

/// What this entry may give out of one account's limits, and has given out.
#[derive(Debug)]
pub(super) struct AccountQuota {
    hash: u32,
    full_limits: AccountLimits,
    limiter: AccountLimiter,
    demand: AccountDemand,
    /// The part that was granted, while it is acted on.
    granted: Option<u32>,
}

impl AccountQuota {
    pub(super) fn new(account: &note::Account, part: f64, now: Instant) -> Self {
        let full_limits = account_limits(account);
        AccountQuota {
            hash: account_hash(&account.name),
            full_limits,
            limiter: AccountLimiter::new(scaled(&full_limits, part), now),
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

    /// Takes a request's part of the limits, if there is room.
    pub(super) fn acquire(&mut self, now: Instant, tokens: u32) -> Result<(), Refusal> {
        self.demand.record(now, tokens, self.limiter.active());
        self.limiter.acquire(now, tokens)
    }

    /// Takes the account's limits from the note, and acts on the same part of them.
    pub(super) fn set_account(&mut self, account: &note::Account, minimum: f64, now: Instant) {
        self.full_limits = account_limits(account);
        self.set_granted_part(self.granted, minimum, now);
    }

    /// Acts on the part that is granted, and never on less than the entry's own. So an
    /// entry that control can't be asked from, or that was granted nothing because others
    /// still hold all there is, lets in what it would without any exchange.
    pub(super) fn set_granted_part(&mut self, granted: Option<u32>, minimum: f64, now: Instant) {
        self.granted = granted;
        let granted = f64::from(granted.unwrap_or(0)) / f64::from(FULL_QUOTA);
        let limits = scaled(&self.full_limits, granted.max(minimum));
        if *self.limiter.limits() != limits {
            self.limiter.set_limits(limits, now);
        }
    }

    /// What control is told, unless there is nothing to tell.
    ///
    /// Requests that run hold their part whatever is granted: a smaller grant doesn't end
    /// them, and another entry would else let in as many beside them.
    pub(super) fn report(&self, now: Instant) -> Option<AccountUse> {
        let running = self.running_part();
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

    /// The part of the account's requests at once that runs here.
    fn running_part(&self) -> u32 {
        if self.full_limits.concurrent == 0 {
            return 0;
        }
        let part = f64::from(self.limiter.active()) / f64::from(self.full_limits.concurrent);
        to_u32((part * f64::from(FULL_QUOTA)).ceil()).min(FULL_QUOTA)
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

/// A part of an account's limits, rounded up so that it is never nothing.
fn scaled(full_limits: &AccountLimits, part: f64) -> AccountLimits {
    AccountLimits {
        share: full_limits.share,
        tokens_per_s: full_limits.tokens_per_s * part,
        requests_per_s: full_limits.requests_per_s * part,
        concurrent: to_u32((f64::from(full_limits.concurrent) * part).ceil()),
    }
}

/// A whole number that is known to be in range.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type before"
)]
fn to_u32(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u32::MAX)) as u32
}
