//! Waiting requests of one account and priority.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::time::Instant;

use slotmap::{Key, SlotMap};

use crate::queued_request::WaitingRequest;
use crate::{QueueKey, QueuedRequest};

/// Virtual time of a fair queue; never NaN.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VirtualTime(pub(crate) f64);

impl Ord for VirtualTime {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for VirtualTime {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for VirtualTime {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for VirtualTime {}

/// When the next request of an account is to start. Of two accounts with the
/// same virtual time, the one that has had it for longer precedes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Turn {
    pub(crate) at: VirtualTime,
    pub(crate) number: u64,
    pub(crate) account: u64,
}

/// A request in the order of one of its times. Arrival decides between equals.
pub(crate) type TimedRequest = (Instant, u64, QueueKey);

#[derive(Clone, Debug, Default)]
pub(crate) struct QueueAccount {
    /// The account's turn; `None` while none of its requests wait.
    pub(crate) turn: Option<Turn>,
    /// Virtual time at which the last started request is paid for.
    pub(crate) finish: VirtualTime,
    /// Virtual time that a start costs, from the account's latest weight.
    pub(crate) cost: f64,
    /// Waiting requests that arrived with a time to be on time, by this time.
    pub(crate) by_on_time: BTreeSet<TimedRequest>,
    /// All waiting requests by the latest useful start.
    pub(crate) by_useful: BTreeSet<TimedRequest>,
}

impl QueueAccount {
    pub(crate) fn insert(&mut self, key: QueueKey, waiting: &WaitingRequest) {
        let (request, arrival) = (&waiting.request, waiting.arrival);
        self.cost = request.cost();
        self.by_useful.insert((request.useful_until, arrival, key));
        if let Some(until) = request.on_time_until {
            self.by_on_time.insert((until, arrival, key));
        }
    }

    pub(crate) fn remove(&mut self, key: QueueKey, waiting: &WaitingRequest) {
        let (request, arrival) = (&waiting.request, waiting.arrival);
        self.by_useful.remove(&(request.useful_until, arrival, key));
        if let Some(until) = request.on_time_until {
            self.by_on_time.remove(&(until, arrival, key));
        }
    }

    /// Number of waiting requests that precede a new one.
    pub(crate) fn ahead_of(&self, request: &QueuedRequest, now: Instant) -> usize {
        let on_time = self.by_on_time.range((now, 0, QueueKey::null())..);
        if let Some(until) = request.on_time_until.filter(|until| *until >= now) {
            return on_time.take_while(|other| other.0 <= until).count();
        }
        let until = request.useful_until;
        let late = self.by_useful.iter().take_while(|other| other.0 <= until);
        on_time.count() + late.count()
    }

    /// Returns the last request in the order of the account.
    pub(crate) fn last(
        &self,
        requests: &SlotMap<QueueKey, WaitingRequest>,
        now: Instant,
    ) -> Option<QueueKey> {
        let is_late = |other: &&TimedRequest| !requests[other.2].request.is_on_time(now);
        let late = self.by_useful.iter().rfind(is_late);
        late.or(self.by_on_time.last()).map(|(_, _, key)| *key)
    }

    pub(crate) fn waiting(&self) -> usize {
        self.by_useful.len()
    }
}
