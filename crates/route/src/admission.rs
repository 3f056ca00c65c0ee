//! Admission control with weighted fair queueing.

use std::time::Instant;

use slotmap::SlotMap;

use crate::account::Account;
use crate::ticket::{Ticket, TicketState};
use crate::{
    AccountKey, AccountLimits, AdmissionDecision, AdmissionSettings, Capacity, QueueUpdate,
    Refusal, RefusalReason, TicketKey,
};

/// Enforces the limits and weighted fair shares of the client accounts of one
/// pool.
///
/// Accounts are scheduled by start-time fair queueing over tokens (Goyal, Vin
/// and Cheng, 1996): the next free slot goes to the account with the least
/// virtual time, and each request advances its account's virtual time by its
/// tokens divided by the account's weight. An account that floods the pool
/// therefore only delays its own requests, whatever their priority: priorities
/// order the requests within one account and decide which are shed first when
/// the queue is full. Because long requests can occupy the targets before other
/// accounts send any, an account that holds more than twice its fair share of
/// slots must leave a reserve free.
///
/// ```
/// use route::{AccountLimits, Admission, AdmissionDecision, AdmissionSettings, Capacity};
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut admission = Admission::new(AdmissionSettings::default());
/// admission.set_capacity(Capacity::fixed(1.0));
/// let account = admission.insert(AccountLimits::default(), now);
/// let deadline = now + Duration::from_secs(5);
/// let AdmissionDecision::Admitted(first) = admission.submit(now, account, 100, 1, deadline) else {
///     unreachable!("there is one slot");
/// };
/// let AdmissionDecision::Queued(second) = admission.submit(now, account, 100, 1, deadline) else {
///     unreachable!("the slot is taken");
/// };
/// admission.release(first, 100);
/// assert_eq!(admission.advance(now).admitted, [second]);
/// ```
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    accounts: SlotMap<AccountKey, Account>,
    tickets: SlotMap<TicketKey, Ticket>,
    capacity: Capacity,
    running: u32,
    waiting: usize,
    /// Since when the queue has not been empty.
    queue_busy_since: Option<Instant>,
    virtual_time: f64,
    /// Requests shed in favour of others, not yet returned by `advance`.
    shed: Vec<(TicketKey, Refusal)>,
}

/// Factor by which an account may exceed its fair share of slots without
/// leaving the reserve free. Random variation alone lifts accounts above their
/// share.
const FAIR_SHARE_FACTOR: f64 = 2.0;
/// Requests allowed in addition, since shares of only a few slots vary most.
const FAIR_SHARE_SLACK: f64 = 2.0;

impl Admission {
    /// Creates admission control without accounts and with no capacity.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Admission {
            settings,
            accounts: SlotMap::with_key(),
            tickets: SlotMap::with_key(),
            capacity: Capacity::default(),
            running: 0,
            waiting: 0,
            queue_busy_since: None,
            virtual_time: 0.0,
            shed: Vec::new(),
        }
    }

    /// Adds an account.
    pub fn insert(&mut self, limits: AccountLimits, now: Instant) -> AccountKey {
        self.accounts.insert(Account::new(limits, now))
    }

    /// Changes an account's limits.
    pub fn set_limits(&mut self, key: AccountKey, limits: AccountLimits, now: Instant) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.limiter.set_limits(limits, now);
        }
    }

    /// Sets how many requests may run concurrently.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
    }

    /// Number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Number of running requests of an account.
    #[must_use]
    pub fn running_for(&self, key: AccountKey) -> u32 {
        self.accounts.get(key).map_or(0, |account| account.running)
    }

    /// Submits a request. Requests with a higher `priority` go first; `tokens` is
    /// an estimate of the tokens that it will use.
    pub fn submit(
        &mut self,
        now: Instant,
        key: AccountKey,
        tokens: u32,
        priority: u32,
        deadline: Instant,
    ) -> AdmissionDecision {
        let Some(account) = self.accounts.get_mut(key) else {
            return AdmissionDecision::Refused(self.refusal(RefusalReason::Shed));
        };
        if !account.may_wait() {
            return AdmissionDecision::Refused(self.refusal(RefusalReason::Concurrency));
        }
        if let Err(refusal) = account.limiter.take_rates(now, tokens) {
            return AdmissionDecision::Refused(refusal);
        }
        let ticket = self.tickets.insert(Ticket {
            account: key,
            tokens,
            priority,
            submitted: now,
            deadline,
            state: TicketState::Waiting,
        });
        self.enqueue(ticket, key, priority, now);
        self.admit_or_queue(ticket)
    }

    /// Ends a request in any state and charges `used` tokens to its account
    /// instead of the estimate.
    pub fn release(&mut self, key: TicketKey, used: u32) {
        let Some(ticket) = self.tickets.remove(key) else {
            return;
        };
        let Some(account) = self.accounts.get_mut(ticket.account) else {
            return;
        };
        match ticket.state {
            TicketState::Running => {
                account.running = account.running.saturating_sub(1);
                self.running = self.running.saturating_sub(1);
                account.limiter.settle(ticket.tokens, used);
                let correction = f64::from(used) - f64::from(ticket.tokens);
                account.virtual_finish += correction / account.weight();
            }
            TicketState::Waiting => {
                account.waiting.retain(|waiting| *waiting != key);
                account.limiter.refund(ticket.tokens);
                self.decrement_waiting();
            }
        }
    }

    /// Admits queued requests while there is capacity, and refuses those whose
    /// wait or deadline has expired.
    pub fn advance(&mut self, now: Instant) -> QueueUpdate {
        let mut update = QueueUpdate {
            admitted: Vec::new(),
            refused: std::mem::take(&mut self.shed),
        };
        self.expire(now, &mut update.refused);
        while let Some(ticket) = self.next_admissible() {
            self.admit(ticket);
            update.admitted.push(ticket);
        }
        update
    }

    fn admit_or_queue(&mut self, ticket: TicketKey) -> AdmissionDecision {
        if self.waiting == 1 && self.next_admissible() == Some(ticket) {
            self.admit(ticket);
            return AdmissionDecision::Admitted(ticket);
        }
        if self.waiting > self.settings.queue
            && let Some(shed) = self.first_to_shed()
        {
            let refusal = self.refusal(RefusalReason::Shed);
            self.release(shed, 0);
            if shed == ticket {
                return AdmissionDecision::Refused(refusal);
            }
            self.shed.push((shed, refusal));
        }
        AdmissionDecision::Queued(ticket)
    }

    fn enqueue(&mut self, ticket: TicketKey, key: AccountKey, priority: u32, now: Instant) {
        let tickets = &self.tickets;
        if let Some(account) = self.accounts.get_mut(key) {
            let precedes = |other: &TicketKey| tickets[*other].priority >= priority;
            let position = account.waiting.partition_point(precedes);
            account.waiting.insert(position, ticket);
            self.waiting += 1;
            self.queue_busy_since.get_or_insert(now);
        }
    }

    fn decrement_waiting(&mut self) {
        self.waiting -= 1;
        if self.waiting == 0 {
            self.queue_busy_since = None;
        }
    }

    /// Returns the queued request to admit next, if there is capacity for it.
    fn next_admissible(&self) -> Option<TicketKey> {
        let free = self.capacity.usable.floor() - f64::from(self.running);
        if free < 1.0 {
            return None;
        }
        let reserve = self.capacity.total * self.settings.reserve + self.capacity.overcommit;
        let reserve = reserve.floor();
        let slots_per_weight = self.slots_per_weight();
        let candidates = self.accounts.values().filter_map(|account| {
            let ticket = *account.waiting.front()?;
            let fair = account.weight() * slots_per_weight;
            let within_share =
                f64::from(account.running) < FAIR_SHARE_FACTOR * fair + FAIR_SHARE_SLACK;
            let fits = account.may_run() && (within_share || free > reserve);
            fits.then_some((account.virtual_finish, ticket))
        });
        candidates
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, ticket)| ticket)
    }

    /// This entry's own slots per unit of weight, over all accounts.
    fn slots_per_weight(&self) -> f64 {
        let weights: f64 = self.accounts.values().map(Account::weight).sum();
        self.capacity.own_share / weights.max(1e-6)
    }

    fn admit(&mut self, key: TicketKey) {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        ticket.state = TicketState::Running;
        let ticket = *ticket;
        self.decrement_waiting();
        self.running += 1;
        let Some(account) = self.accounts.get_mut(ticket.account) else {
            return;
        };
        account.waiting.retain(|waiting| *waiting != key);
        account.running += 1;
        let start = account.virtual_finish.max(self.virtual_time);
        account.virtual_finish = start + f64::from(ticket.tokens.max(1)) / account.weight();
        self.virtual_time = start;
    }

    /// Returns the request to shed: one of the lowest priority, from the account
    /// with the most queued requests relative to its weight, and the newest of
    /// that account.
    fn first_to_shed(&self) -> Option<TicketKey> {
        let candidates = self.accounts.values().filter_map(|account| {
            let ticket = *account.waiting.back()?;
            let waiting = u32::try_from(account.waiting.len()).unwrap_or(u32::MAX);
            let excess = f64::from(waiting) / account.weight();
            Some((self.tickets[ticket].priority, excess, ticket))
        });
        candidates
            .min_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)))
            .map(|(_, _, ticket)| ticket)
    }

    fn expire(&mut self, now: Instant, refused: &mut Vec<(TicketKey, Refusal)>) {
        let expired: Vec<TicketKey> = self
            .tickets
            .iter()
            .filter(|(_, t)| t.state == TicketState::Waiting && self.is_expired(t, now))
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.release(key, 0);
            refused.push((key, self.refusal(RefusalReason::Expired)));
        }
    }

    /// Whether a queued request has reached its deadline or, in a standing queue,
    /// the maximum wait.
    ///
    /// A queue that never empties serves no more requests than a short one, but
    /// delays each of them by the full wait: during an overload all callers
    /// would get their first token seconds late. Waits in a standing queue are
    /// therefore cut short, as in controlled delay for packets (Nichols and
    /// Jacobson, 2012) and for requests (Maurer, "Fail at Scale", 2015).
    fn is_expired(&self, ticket: &Ticket, now: Instant) -> bool {
        if ticket.deadline <= now {
            return true;
        }
        let elapsed = |since| now.saturating_duration_since(since);
        let is_standing = |since| elapsed(since) >= self.settings.standing_after;
        self.queue_busy_since.is_some_and(is_standing)
            && elapsed(ticket.submitted) >= self.settings.standing_wait
    }

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        Refusal {
            reason,
            retry_after: self.settings.retry_after,
        }
    }
}
