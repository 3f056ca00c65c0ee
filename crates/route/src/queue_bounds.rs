//! Bounds of a request queue.

use std::time::Instant;

use crate::queue_account::QueueAccount;
use crate::queue_class::{QueueClass, count};
use crate::request_queue::AccountUsage;
use crate::{Priority, QueueKey, QueueRefusal, QueueRefusalReason, QueuedRequest, RequestQueue};

impl RequestQueue {
    /// Displaces requests until there is room for a new one.
    pub(crate) fn make_room(
        &mut self,
        request: &QueuedRequest,
        now: Instant,
    ) -> Result<(), QueueRefusal> {
        let refuse = |queue: &Self, reason| Err(queue.refusal(reason, request.priority, now));
        if self.is_over_account_share(request, AccountUsage::default()) {
            let Some(victim) = self.own_victim(request, now) else {
                return refuse(self, QueueRefusalReason::AccountShare);
            };
            self.displace(victim, QueueRefusalReason::AccountShare, now);
        }
        if !self.can_make_room(request, now) {
            return refuse(self, QueueRefusalReason::Full);
        }
        while !self.has_room(request) {
            let Some(victim) = self.victim(request, now) else {
                return refuse(self, QueueRefusalReason::Full);
            };
            self.displace(victim, QueueRefusalReason::Displaced, now);
        }
        Ok(())
    }

    fn has_room(&self, request: &QueuedRequest) -> bool {
        self.len() < self.settings.max_requests && self.is_within_bytes(self.bytes, request)
    }

    /// Whether displacing others can make room, so that none is displaced in
    /// vain. At most one of the same priority is displaced.
    fn can_make_room(&self, request: &QueuedRequest, now: Instant) -> bool {
        if self.has_room(request) {
            return true;
        }
        // The caller has to collect displaced requests before more are.
        if self.displaced.len() >= self.settings.max_requests {
            return false;
        }
        let less_urgent = self.classes.range(request.priority..);
        let less_urgent = less_urgent.filter(|(priority, _)| **priority > request.priority);
        let classes: Vec<&QueueClass> = less_urgent.map(|(_, class)| class).collect();
        let equal = self.victim_of_equals(request, now);
        let equal_bytes = equal.map_or(0, |key| self.requests[key].request.bytes);
        let bytes = classes.iter().map(|class| class.bytes).sum::<usize>() + equal_bytes;
        let kept = self.bytes.saturating_sub(bytes);
        (!classes.is_empty() || equal.is_some()) && self.is_within_bytes(kept, request)
    }

    fn is_within_bytes(&self, used: usize, request: &QueuedRequest) -> bool {
        let bytes = used.checked_add(request.bytes);
        bytes.is_some_and(|bytes| bytes <= self.settings.max_bytes)
    }

    /// Returns the request to displace for a new one, if any.
    fn victim(&self, request: &QueuedRequest, now: Instant) -> Option<QueueKey> {
        let (priority, class) = self.classes.last_key_value()?;
        if *priority > request.priority {
            class.victim(&self.requests, now).map(|(_, key)| key)
        } else {
            self.victim_of_equals(request, now)
        }
    }

    /// Returns a request of the same priority, of an account with more waiting
    /// requests relative to its weight than the account of the new one would
    /// have.
    fn victim_of_equals(&self, request: &QueuedRequest, now: Instant) -> Option<QueueKey> {
        let class = self.classes.get(&request.priority)?;
        let own = class.accounts.get(&request.account);
        let own = count(own.map_or(0, QueueAccount::waiting) + 1) * request.cost();
        let (excess, key) = class.victim(&self.requests, now)?;
        let other = self.requests[key].request.account != request.account;
        (other && excess > own).then_some(key)
    }

    /// Whether the account of a new request would exceed its share once `freed`
    /// of it has gone.
    fn is_over_account_share(&self, request: &QueuedRequest, freed: AccountUsage) -> bool {
        let settings = &self.settings;
        let usage = self.usage.get(&request.account).copied();
        let usage = usage.unwrap_or_default();
        let others = self.usage.len() - usize::from(usage.requests > 0);
        let over = |used: usize, freed, added, total: usize, max: usize| {
            let used = used.saturating_sub(freed).saturating_add(added);
            total >= max.div_ceil(4) && count(used) > settings.account_share * count(max)
        };
        let requests = self.len();
        let is_over = over(
            usage.requests,
            freed.requests,
            1,
            requests,
            settings.max_requests,
        ) || over(
            usage.bytes,
            freed.bytes,
            request.bytes,
            self.bytes,
            settings.max_bytes,
        );
        others > 0 && is_over
    }

    /// Returns a less urgent request of the same account whose place suffices.
    fn own_victim(&self, request: &QueuedRequest, now: Instant) -> Option<QueueKey> {
        if self.displaced.len() >= self.settings.max_requests {
            return None;
        }
        let classes = self.classes.range(request.priority..).rev();
        let less_urgent = classes.filter(|(priority, _)| **priority > request.priority);
        let mut accounts =
            less_urgent.filter_map(|(_, class)| class.accounts.get(&request.account));
        let victim = accounts.find_map(|account| account.last(&self.requests, now))?;
        let freed = AccountUsage {
            requests: 1,
            bytes: self.requests[victim].request.bytes,
        };
        (!self.is_over_account_share(request, freed)).then_some(victim)
    }

    fn displace(&mut self, key: QueueKey, reason: QueueRefusalReason, now: Instant) {
        let Some(waiting) = self.requests.get(key) else {
            return;
        };
        let priority: Priority = waiting.request.priority;
        self.detach(key);
        let refusal = self.refusal(reason, priority, now);
        self.displaced.push((key, refusal));
    }
}
