//! Waiting requests of one priority.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::queue_account::{QueueAccount, Turn, VirtualTime};
use crate::queued_request::WaitingRequest;
use slotmap::SlotMap;

use crate::{QueueKey, QueuedRequest};

/// Most accounts without waiting requests whose virtual time is remembered.
const MAX_IDLE_ACCOUNTS: usize = 1024;

/// The waiting requests of one priority: a start-time fair queue over the
/// accounts (Goyal, Vin and Cheng, 1996). It exists from the first request that
/// waits until none does; all accounts are equal when it begins.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueueClass {
    pub(crate) accounts: BTreeMap<u64, QueueAccount>,
    /// Turns of the accounts with waiting requests.
    pub(crate) turns: BTreeSet<Turn>,
    /// Waiting requests in the order of arrival.
    pub(crate) arrivals: BTreeMap<u64, QueueKey>,
    pub(crate) bytes: usize,
    virtual_time: VirtualTime,
    last_turn: u64,
}

impl QueueClass {
    pub(crate) fn len(&self) -> usize {
        self.arrivals.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.arrivals.is_empty()
    }

    pub(crate) fn insert(&mut self, key: QueueKey, waiting: &WaitingRequest) {
        let id = waiting.request.account;
        self.arrivals.insert(waiting.arrival, key);
        self.bytes = self.bytes.saturating_add(waiting.request.bytes);
        let account = self.accounts.entry(id).or_default();
        account.insert(key, waiting);
        if account.turn.is_none() {
            // An account that did not wait has no credit for that time.
            let at = account.finish.max(self.virtual_time);
            self.set_turn(id, Some(at));
        }
    }

    /// Removes a request without a start.
    pub(crate) fn remove(&mut self, key: QueueKey, waiting: &WaitingRequest) {
        let id = waiting.request.account;
        self.arrivals.remove(&waiting.arrival);
        self.bytes = self.bytes.saturating_sub(waiting.request.bytes);
        let Some(account) = self.accounts.get_mut(&id) else {
            return;
        };
        account.remove(key, waiting);
        if account.waiting() == 0 {
            self.set_turn(id, None);
        }
    }

    /// Charges a start to an account.
    pub(crate) fn charge(&mut self, id: u64, cost: f64) {
        let account = self.accounts.entry(id).or_default();
        let turn = account.turn.map(|turn| turn.at);
        let start = turn.unwrap_or_else(|| account.finish.max(self.virtual_time));
        let finish = VirtualTime(start.0 + cost);
        account.finish = finish;
        if turn.is_some() {
            self.set_turn(id, Some(finish));
        }
        // A start out of turn must not take the credit of those who wait.
        let first = self.turns.first().map_or(start, |turn| turn.at.min(start));
        self.virtual_time = self.virtual_time.max(first);
        self.forget_idle_accounts();
    }

    /// Number of requests that start before one of this account which `own`
    /// others of the account precede.
    pub(crate) fn ahead_of(&self, id: u64, cost: f64, own: f64) -> f64 {
        let account = self.accounts.get(&id);
        let turn = account.and_then(|account| account.turn.map(|turn| turn.at));
        let finish = account.map_or(VirtualTime::default(), |account| account.finish);
        let start = turn.unwrap_or_else(|| finish.max(self.virtual_time));
        let at = start.0 + own * cost;
        let others = self.turns.iter().filter(|turn| turn.account != id);
        let ahead = others.map(|turn| {
            let other = &self.accounts[&turn.account];
            let starts = ((at - turn.at.0) / other.cost).floor() + 1.0;
            starts.clamp(0.0, count(other.waiting()))
        });
        own + ahead.sum::<f64>()
    }

    /// Number of requests of the same account that precede a new one.
    pub(crate) fn own_ahead_of(&self, request: &QueuedRequest, now: Instant) -> f64 {
        let account = self.accounts.get(&request.account);
        account.map_or(0.0, |account| count(account.ahead_of(request, now)))
    }

    /// Returns the request to displace first, with the number of waiting requests
    /// of its account relative to the weight: the last of the account with the
    /// most of them.
    pub(crate) fn victim(
        &self,
        requests: &SlotMap<QueueKey, WaitingRequest>,
        now: Instant,
    ) -> Option<(f64, QueueKey)> {
        let accounts = self.turns.iter().filter_map(|turn| {
            let account = self.accounts.get(&turn.account)?;
            Some((
                count(account.waiting()) * account.cost,
                account.last(requests, now)?,
            ))
        });
        accounts.max_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Number of the turn that was set last.
    pub(crate) fn last_turn(&self) -> u64 {
        self.last_turn
    }

    fn set_turn(&mut self, id: u64, at: Option<VirtualTime>) {
        let Some(account) = self.accounts.get_mut(&id) else {
            return;
        };
        if let Some(turn) = account.turn.take() {
            self.turns.remove(&turn);
            account.finish = account.finish.max(turn.at);
        }
        if let Some(at) = at {
            self.last_turn += 1;
            let turn = Turn {
                at,
                number: self.last_turn,
                account: id,
            };
            account.turn = Some(turn);
            self.turns.insert(turn);
        }
    }

    fn forget_idle_accounts(&mut self) {
        if self.accounts.len() <= self.turns.len() + MAX_IDLE_ACCOUNTS {
            return;
        }
        let virtual_time = self.virtual_time;
        self.accounts
            .retain(|_, account| account.turn.is_some() || account.finish > virtual_time);
        if self.accounts.len() > self.turns.len() + MAX_IDLE_ACCOUNTS {
            self.accounts.retain(|_, account| account.turn.is_some());
        }
    }
}

/// Converts a number of requests for arithmetic.
pub(crate) fn count(requests: usize) -> f64 {
    f64::from(u32::try_from(requests).unwrap_or(u32::MAX))
}
