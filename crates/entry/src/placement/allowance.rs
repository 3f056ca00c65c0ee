//! What this entry may give out of one account's limits.

use std::time::Instant;

use route::{AccountDemand, AccountLimiter, AccountLimits, FULL_QUOTA, Refusal, account_hash};
use wire::proto::AccountUse;

/// What this entry may give out of one account's limits, and has given out.
#[derive(Debug)]
pub(super) struct Allowance {
    number: u32,
    whole: AccountLimits,
    ration: AccountLimiter,
    usage: AccountDemand,
    /// The part that was granted, while it is acted on.
    granted: Option<u32>,
}

impl Allowance {
    pub(super) fn new(account: &note::Account, part: f64, now: Instant) -> Self {
        let whole = whole(account);
        Allowance {
            number: account_hash(&account.name),
            whole,
            ration: AccountLimiter::new(part_of(&whole, part), now),
            usage: AccountDemand::default(),
            granted: None,
        }
    }

    pub(super) fn ration(&mut self) -> &mut AccountLimiter {
        &mut self.ration
    }

    pub(super) fn number(&self) -> u32 {
        self.number
    }

    /// Takes a request's part of the limits, if there is room.
    pub(super) fn enter(&mut self, now: Instant, tokens: u32) -> Result<(), Refusal> {
        self.usage.record(now, tokens, self.ration.active());
        self.ration.acquire(now, tokens)
    }

    /// Takes the account's limits from the note, and acts on the same part of them.
    pub(super) fn set_account(&mut self, account: &note::Account, own: f64, now: Instant) {
        self.whole = whole(account);
        self.set_part(self.granted, own, now);
    }

    /// Acts on the part that is granted, and never on less than the entry's own. So an
    /// entry that control can't be asked from, or that was granted nothing because others
    /// still hold all there is, lets in what it would without any exchange.
    pub(super) fn set_part(&mut self, granted: Option<u32>, own: f64, now: Instant) {
        self.granted = granted;
        let granted = f64::from(granted.unwrap_or(0)) / f64::from(FULL_QUOTA);
        let limits = part_of(&self.whole, granted.max(own));
        if *self.ration.limits() != limits {
            self.ration.set_limits(limits, now);
        }
    }

    /// What control is told, unless there is nothing to tell.
    ///
    /// Requests that run hold their part whatever is granted: a smaller grant doesn't end
    /// them, and another entry would else let in as many beside them.
    pub(super) fn told(&self, now: Instant) -> Option<AccountUse> {
        let running = self.running();
        let demand = self.usage.quota_demand(now, &self.whole).max(running);
        let held = self.granted.unwrap_or(0).max(running);
        (demand > 0 || held > 0).then_some(AccountUse {
            account: self.number,
            demand,
            held,
        })
    }

    /// The part of the account's requests at once that runs here.
    fn running(&self) -> u32 {
        if self.whole.concurrent == 0 {
            return 0;
        }
        let part = f64::from(self.ration.active()) / f64::from(self.whole.concurrent);
        to_u32((part * f64::from(FULL_QUOTA)).ceil()).min(FULL_QUOTA)
    }
}

fn whole(account: &note::Account) -> AccountLimits {
    AccountLimits {
        share: f64::from(account.share),
        tokens_per_s: f64::from(account.tokens_per_s),
        requests_per_s: f64::from(account.requests_per_s),
        concurrent: account.concurrent,
    }
}

/// A part of an account's limits, rounded up so that it is never nothing.
fn part_of(whole: &AccountLimits, part: f64) -> AccountLimits {
    AccountLimits {
        share: whole.share,
        tokens_per_s: whole.tokens_per_s * part,
        requests_per_s: whole.requests_per_s * part,
        concurrent: to_u32((f64::from(whole.concurrent) * part).ceil()),
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
