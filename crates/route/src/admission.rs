//! Who is let in when there is not room for everyone.

use std::time::Instant;

use slotmap::SlotMap;

use crate::account::Account;
use crate::ticket::{Ticket, TicketState};
use crate::{
    AccountKey, AccountLimits, AdmissionDecision, AdmissionSettings, Capacity, QueueUpdate,
    Refusal, RefusalReason, TicketKey,
};

/// Limits and weighted fair shares of the client accounts of one pool.
///
/// Accounts take turns by start-time fair queueing over tokens (Goyal, Vin
/// and Cheng, 1996): the next place goes to the account whose virtual time is
/// the least, and a request moves its account's virtual time on by its tokens
/// over the account's weight. So one account that floods the pool waits
/// behind itself, whatever its priority: priorities order the requests of one
/// account and say who is shed first when the queue is full. As the targets' places can be taken by long requests before
/// the others come, an account that holds more than twice its fair share of
/// places leaves a reserve free.
///
/// ```
/// use route::{AccountLimits, Admission, AdmissionSettings, AdmissionDecision, Capacity};
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut admission = Admission::new(AdmissionSettings::default());
/// admission.set_capacity(Capacity::fixed(1.0));
/// let account = admission.insert(AccountLimits::default(), now);
/// let deadline = now + Duration::from_secs(5);
/// let AdmissionDecision::Admitted(first) = admission.submit(now, account, 100, 1, deadline) else {
///     unreachable!("there is one place");
/// };
/// let AdmissionDecision::Queued(second) = admission.submit(now, account, 100, 1, deadline) else {
///     unreachable!("the place is taken");
/// };
/// admission.release(first, 100);
/// assert_eq!(admission.advance(now).admitted, [second]);
/// ```
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    accounts: SlotMap<AccountKey, Account>,
    tickets: SlotMap<TicketKey, Ticket>,
    places: Capacity,
    running: u32,
    waiting: usize,
    /// Since when some request waits.
    waiting_since: Option<Instant>,
    virtual_time: f64,
    shed: Vec<(TicketKey, Refusal)>,
}

/// How far above its fair share of places an account may go without leaving
/// the reserve free: chance alone lifts accounts above their share.
const FAIR_EXCESS: f64 = 2.0;
/// Requests beside that, as shares of a few places vary most.
const FAIR_SLACK: f64 = 2.0;

impl Admission {
    /// Without accounts and without places.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Admission {
            settings,
            accounts: SlotMap::with_key(),
            tickets: SlotMap::with_key(),
            places: Capacity::default(),
            running: 0,
            waiting: 0,
            waiting_since: None,
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
            account.ration.set_limits(limits, now);
        }
    }

    /// Changes how many requests may run at once.
    pub fn set_capacity(&mut self, places: Capacity) {
        self.places = places;
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Requests of an account that run.
    #[must_use]
    pub fn running_for(&self, key: AccountKey) -> u32 {
        self.accounts.get(key).map_or(0, |account| account.running)
    }

    /// Asks for a request to be let in. `priority` is better when higher.
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
        if let Err(refusal) = account.ration.take_rates(now, tokens) {
            return AdmissionDecision::Refused(refusal);
        }
        let ticket = self.tickets.insert(Ticket {
            account: key,
            tokens,
            priority,
            entered: now,
            deadline,
            state: TicketState::Waiting,
        });
        self.queue(ticket, key, priority, now);
        self.place_one(ticket)
    }

    /// Ends a request in whatever state it is; `used` tokens are charged to
    /// its account in place of the estimate.
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
                account.ration.settle(ticket.tokens, used);
                let missed = f64::from(used) - f64::from(ticket.tokens);
                account.finish += missed / account.weight();
            }
            TicketState::Waiting => {
                account.waiting.retain(|waiting| *waiting != key);
                account.ration.refund(ticket.tokens);
                self.leave_queue();
            }
        }
    }

    /// Lets in whoever's turn it is and refuses whose deadline has passed.
    pub fn advance(&mut self, now: Instant) -> QueueUpdate {
        let mut advance = QueueUpdate {
            admitted: Vec::new(),
            refused: std::mem::take(&mut self.shed),
        };
        self.expire(now, &mut advance.refused);
        while let Some(ticket) = self.next() {
            self.admit(ticket);
            advance.admitted.push(ticket);
        }
        advance
    }

    fn place_one(&mut self, ticket: TicketKey) -> AdmissionDecision {
        if self.waiting == 1 && self.next() == Some(ticket) {
            self.admit(ticket);
            return AdmissionDecision::Admitted(ticket);
        }
        if self.waiting > self.settings.queue
            && let Some(worst) = self.worst()
        {
            let refusal = self.refusal(RefusalReason::Shed);
            self.release(worst, 0);
            if worst == ticket {
                return AdmissionDecision::Refused(refusal);
            }
            self.shed.push((worst, refusal));
        }
        AdmissionDecision::Queued(ticket)
    }

    fn queue(&mut self, ticket: TicketKey, key: AccountKey, priority: u32, now: Instant) {
        let tickets = &self.tickets;
        if let Some(account) = self.accounts.get_mut(key) {
            let goes_first = |other: &TicketKey| tickets[*other].priority >= priority;
            let at = account.waiting.partition_point(goes_first);
            account.waiting.insert(at, ticket);
            self.waiting += 1;
            self.waiting_since.get_or_insert(now);
        }
    }

    fn leave_queue(&mut self) {
        self.waiting -= 1;
        if self.waiting == 0 {
            self.waiting_since = None;
        }
    }

    /// The waiting request whose turn it is, if there is a place for it.
    fn next(&self) -> Option<TicketKey> {
        let free = self.places.usable.floor() - f64::from(self.running);
        if free < 1.0 {
            return None;
        }
        let reserve = self.places.total * self.settings.reserve + self.places.overcommit;
        let reserve = reserve.floor();
        let share = self.fair_places();
        let candidates = self.accounts.values().filter_map(|account| {
            let ticket = *account.waiting.front()?;
            let fair = account.weight() * share;
            let within = f64::from(account.running) < FAIR_EXCESS * fair + FAIR_SLACK;
            let fits = account.may_run() && (within || free > reserve);
            fits.then_some((account.finish, ticket))
        });
        candidates
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, ticket)| ticket)
    }

    /// This entry's places for each unit of weight of all accounts.
    fn fair_places(&self) -> f64 {
        let weights: f64 = self.accounts.values().map(Account::weight).sum();
        self.places.own_share / weights.max(1e-6)
    }

    fn admit(&mut self, key: TicketKey) {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        ticket.state = TicketState::Running;
        let ticket = *ticket;
        self.leave_queue();
        self.running += 1;
        let Some(account) = self.accounts.get_mut(ticket.account) else {
            return;
        };
        account.waiting.retain(|waiting| *waiting != key);
        account.running += 1;
        let start = account.finish.max(self.virtual_time);
        account.finish = start + f64::from(ticket.tokens.max(1)) / account.weight();
        self.virtual_time = start;
    }

    /// Whom to shed: the lowest priority, of those the account that has the
    /// most waiting for its weight, of those the newest.
    fn worst(&self) -> Option<TicketKey> {
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
        let late: Vec<TicketKey> = self
            .tickets
            .iter()
            .filter(|(_, t)| t.state == TicketState::Waiting && self.is_late(t, now))
            .map(|(key, _)| key)
            .collect();
        for key in late {
            self.release(key, 0);
            refused.push((key, self.refusal(RefusalReason::Expired)));
        }
    }

    /// Whether a waiting request has waited for long enough.
    ///
    /// A queue that never empties serves no more requests than a short one,
    /// but each after the longest wait: callers see their first token seconds
    /// late, all of them, for as long as the overload lasts. So waits in it
    /// are cut short, as controlled delay does for packets (Nichols and
    /// Jacobson, 2012) and Maurer for requests ("Fail at Scale", 2015).
    fn is_late(&self, ticket: &Ticket, now: Instant) -> bool {
        if ticket.deadline <= now {
            return true;
        }
        let since = |then| now.saturating_duration_since(then);
        let stands = |then| since(then) >= self.settings.standing_after;
        self.waiting_since.is_some_and(stands)
            && since(ticket.entered) >= self.settings.standing_wait
    }

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        Refusal {
            reason,
            retry_after: self.settings.retry_after,
        }
    }
}
