//! Order in which the waiting requests of one priority start.

use std::collections::{BTreeMap, BTreeSet, btree_map, btree_set};
use std::iter::Peekable;
use std::time::Instant;

use slotmap::{Key, SlotMap};

use crate::queue_account::{QueueAccount, TimedRequest, Turn, VirtualTime};
use crate::queue_class::QueueClass;
use crate::queued_request::WaitingRequest;
use crate::{Priority, QueueKey};

/// Takes the waiting requests of one priority in the order of their fair queue.
/// Expired ones are left out.
pub(crate) struct ClassOrder<'a> {
    pub(crate) priority: Priority,
    /// Upper bound of the requests not yet taken.
    pub(crate) left: usize,
    class: &'a QueueClass,
    requests: &'a SlotMap<QueueKey, WaitingRequest>,
    now: Instant,
    arrivals: Peekable<btree_map::Iter<'a, u64, QueueKey>>,
    /// Turns of the accounts that are not in `accounts`, among others.
    turns: Peekable<btree_set::Iter<'a, Turn>>,
    accounts: BTreeMap<u64, AccountOrder<'a>>,
    /// Turns of `accounts`.
    account_turns: BTreeSet<Turn>,
    last_turn: u64,
    taken: BTreeSet<QueueKey>,
    stage: Stage,
}

/// Which requests are taken. Late ones of any account wait for those that can still be on
/// time: otherwise they would make these late, too, as long as the overload lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    OnTime,
    Late,
}

/// The order within one account: first those still on time, then late ones.
struct AccountOrder<'a> {
    turn: Turn,
    on_time: btree_set::Range<'a, TimedRequest>,
    by_useful: btree_set::Iter<'a, TimedRequest>,
}

impl<'a> AccountOrder<'a> {
    fn new(account: &'a QueueAccount, turn: Turn, now: Instant) -> Self {
        AccountOrder {
            turn,
            on_time: account.by_on_time.range((now, 0, QueueKey::null())..),
            by_useful: account.by_useful.iter(),
        }
    }

    /// Returns the next request. Those on time are returned a second time among
    /// the late ones.
    fn next(&mut self, stage: Stage) -> Option<QueueKey> {
        let next = match stage {
            Stage::OnTime => self.on_time.next(),
            Stage::Late => self.by_useful.next(),
        };
        next.map(|(_, _, key)| *key)
    }
}

impl<'a> ClassOrder<'a> {
    pub(crate) fn new(
        priority: Priority,
        class: &'a QueueClass,
        requests: &'a SlotMap<QueueKey, WaitingRequest>,
        now: Instant,
    ) -> Self {
        ClassOrder {
            priority,
            left: class.len(),
            class,
            requests,
            now,
            arrivals: class.arrivals.iter().peekable(),
            turns: class.turns.iter().peekable(),
            accounts: BTreeMap::new(),
            account_turns: BTreeSet::new(),
            last_turn: class.last_turn(),
            taken: BTreeSet::new(),
            stage: Stage::OnTime,
        }
    }

    /// Takes the next request in the order of the fair queue.
    pub(crate) fn take_next(&mut self) -> Option<QueueKey> {
        loop {
            let Some(turn) = self.next_turn() else {
                if self.stage == Stage::Late {
                    return None;
                }
                self.stage = Stage::Late;
                self.account_turns = self.accounts.values().map(|account| account.turn).collect();
                continue;
            };
            self.visit(turn);
            if let Some(key) = self.next_of(turn.account) {
                self.take(key);
                return Some(key);
            }
            self.account_turns.remove(&turn);
        }
    }

    /// Returns the request that has waited longest, with its number of arrival.
    pub(crate) fn oldest(&mut self) -> Option<(u64, QueueKey)> {
        while let Some((arrival, key)) = self.arrivals.peek().copied() {
            if self.is_takeable(*key) {
                return Some((*arrival, *key));
            }
            self.arrivals.next();
        }
        None
    }

    /// Takes a request, also out of turn, and charges its account.
    pub(crate) fn take(&mut self, key: QueueKey) {
        let request = &self.requests[key].request;
        let class = self.class;
        let Some(turn) = class.accounts[&request.account].turn else {
            return;
        };
        self.visit(turn);
        self.taken.insert(key);
        self.left = self.left.saturating_sub(1);
        let Some(account) = self.accounts.get_mut(&request.account) else {
            return;
        };
        self.account_turns.remove(&account.turn);
        self.last_turn += 1;
        account.turn.at = VirtualTime(account.turn.at.0 + request.cost());
        account.turn.number = self.last_turn;
        self.account_turns.insert(account.turn);
    }

    fn next_turn(&mut self) -> Option<Turn> {
        while let Some(turn) = self.turns.peek().copied() {
            if !self.accounts.contains_key(&turn.account) {
                let visited = self.account_turns.first();
                return Some(visited.map_or(*turn, |visited| *visited.min(turn)));
            }
            self.turns.next();
        }
        self.account_turns.first().copied()
    }

    fn visit(&mut self, turn: Turn) {
        if self.accounts.contains_key(&turn.account) {
            return;
        }
        let account = &self.class.accounts[&turn.account];
        let order = AccountOrder::new(account, turn, self.now);
        self.accounts.insert(turn.account, order);
        self.account_turns.insert(turn);
    }

    fn next_of(&mut self, id: u64) -> Option<QueueKey> {
        loop {
            let key = self.accounts.get_mut(&id)?.next(self.stage)?;
            if self.is_takeable(key) {
                return Some(key);
            }
        }
    }

    fn is_takeable(&self, key: QueueKey) -> bool {
        !self.taken.contains(&key) && !self.requests[key].request.is_expired(self.now)
    }
}
