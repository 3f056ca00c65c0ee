//! Queue of the requests that wait for capacity.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use crate::background_share::BackgroundShare;
use crate::queue_class::QueueClass;
use crate::queue_order::QueueOrder;
use crate::queue_rates::QueueRates;
use crate::queued_request::{WaitingRequest, start_cost};
use crate::{
    Priority, QueueKey, QueueRefusal, QueueRefusalReason, QueueStats, QueuedRequest,
    RequestQueueSettings,
};

/// The requests of one service that wait for capacity at one entry.
///
/// Requests start by priority. Within a priority, the accounts share the starts
/// by weight (start-time fair queueing). Within an account, those that can still
/// be on time precede late ones. A share of the starts is kept for requests of
/// lower priority. Each priority has its own virtual time: with a common one, the
/// starts of urgent requests would erase the differences between the accounts of
/// the others.
///
/// The queue predicts when a request would start from the starts of the last two
/// seconds, and refuses at once what cannot start in time. Requests whose latest
/// useful start has come are not offered to start any more.
///
/// ```
/// use route::{Priority, QueuedRequest, RequestQueue, RequestQueueSettings};
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut queue = RequestQueue::new(RequestQueueSettings::default());
/// let review = QueuedRequest {
///     priority: Priority { account: 0, route: 2 },
///     account: 0,
///     weight: 1.0,
///     bytes: 100,
///     on_time_until: Some(now + Duration::from_secs(1)),
///     useful_until: now + Duration::from_secs(8),
/// };
/// let hint = QueuedRequest { priority: Priority::default(), ..review };
/// let review = queue.push(review, now).unwrap();
/// let hint = queue.push(hint, now).unwrap();
/// assert_eq!(queue.order(now), [hint, review]);
/// queue.start(hint, now);
/// assert_eq!(queue.next(now), Some(review));
/// ```
#[derive(Clone, Debug)]
pub struct RequestQueue {
    pub(crate) settings: RequestQueueSettings,
    pub(crate) requests: SlotMap<QueueKey, WaitingRequest>,
    /// The priorities with waiting requests.
    pub(crate) classes: BTreeMap<Priority, QueueClass>,
    /// Waiting requests by the latest useful start.
    pub(crate) by_useful: BTreeSet<(Instant, QueueKey)>,
    /// Number and bytes of the waiting requests of each account.
    pub(crate) usage: BTreeMap<u64, AccountUsage>,
    pub(crate) bytes: usize,
    pub(crate) rates: QueueRates,
    pub(crate) background: BackgroundShare,
    /// Displaced requests, not yet returned by `refuse_unservable`.
    pub(crate) displaced: Vec<(QueueKey, QueueRefusal)>,
    /// When the starts of the waiting requests were last predicted.
    pub(crate) predicted_at: Option<Instant>,
    last_arrival: u64,
}

/// What the waiting requests of an account take up.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AccountUsage {
    pub(crate) requests: usize,
    pub(crate) bytes: usize,
}

impl RequestQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: RequestQueueSettings) -> Self {
        let settings = settings.clamped();
        RequestQueue {
            settings,
            requests: SlotMap::with_key(),
            classes: BTreeMap::new(),
            by_useful: BTreeSet::new(),
            usage: BTreeMap::new(),
            bytes: 0,
            rates: QueueRates::default(),
            background: BackgroundShare::new(settings.background_share),
            displaced: Vec::new(),
            predicted_at: None,
            last_arrival: 0,
        }
    }

    /// Adds a request that could not start at once. It may displace a less
    /// urgent one, which `refuse_unservable` then returns.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request cannot start in time or has no place.
    ///
    /// ```
    /// use route::{QueueRefusalReason, QueuedRequest, RequestQueue, RequestQueueSettings};
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// let mut queue = RequestQueue::new(RequestQueueSettings::default());
    /// let request = QueuedRequest {
    ///     priority: route::Priority::default(),
    ///     account: 0,
    ///     weight: 1.0,
    ///     bytes: 100,
    ///     on_time_until: None,
    ///     useful_until: now,
    /// };
    /// let refusal = queue.push(request, now).unwrap_err();
    /// assert_eq!(refusal.reason, QueueRefusalReason::Expired);
    /// ```
    pub fn push(&mut self, request: QueuedRequest, now: Instant) -> Result<QueueKey, QueueRefusal> {
        self.rates.advance(now);
        let admission = self.check_servable(&request, now);
        admission.and_then(|()| self.make_room(&request, now))?;
        self.rates.record_arrival(request.priority, now);
        Ok(self.insert(request, now))
    }

    /// Returns the waiting requests in the order in which they are admitted.
    ///
    /// [`next`](Self::next) is cheaper for only the first of them.
    #[must_use]
    pub fn order(&self, now: Instant) -> Vec<QueueKey> {
        self.iter(now).collect()
    }

    /// Returns the waiting requests in the order in which they are admitted,
    /// each at the time at which it is asked for.
    ///
    /// ```
    /// use route::{RequestQueue, RequestQueueSettings};
    ///
    /// let queue = RequestQueue::new(RequestQueueSettings::default());
    /// assert_eq!(queue.iter(std::time::Instant::now()).count(), 0);
    /// ```
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = QueueKey> {
        let recent = self.rates.recent_starts(now);
        let background = self.background.clone();
        QueueOrder::new(&self.classes, &self.requests, background, recent, now)
    }

    /// Returns the request that is admitted next.
    #[must_use]
    pub fn next(&self, now: Instant) -> Option<QueueKey> {
        self.iter(now).next()
    }

    /// Returns a waiting request.
    #[must_use]
    pub fn get(&self, key: QueueKey) -> Option<&QueuedRequest> {
        self.requests.get(key).map(|waiting| &waiting.request)
    }

    /// Records that a waiting request was admitted.
    pub fn start(&mut self, key: QueueKey, now: Instant) {
        let Some(waiting) = self.requests.get(key) else {
            return;
        };
        let request = waiting.request;
        if let Some(class) = self.classes.get_mut(&request.priority) {
            class.charge(request.account, request.cost());
        }
        self.detach(key);
        self.count_start(request.priority, now);
    }

    /// Records that a request was admitted without waiting.
    ///
    /// ```
    /// use route::{Priority, RequestQueue, RequestQueueSettings};
    /// use std::time::{Duration, Instant};
    ///
    /// let mut now = Instant::now();
    /// let mut queue = RequestQueue::new(RequestQueueSettings::default());
    /// for _ in 0..10 {
    ///     queue.record_start(Priority::default(), 0, 1.0, now);
    ///     now += Duration::from_millis(100);
    /// }
    /// // Nobody waits.
    /// assert_eq!(queue.predicted_wait(Priority::default(), now), Duration::ZERO);
    /// ```
    pub fn record_start(&mut self, priority: Priority, account: u64, weight: f64, now: Instant) {
        if let Some(class) = self.classes.get_mut(&priority) {
            class.charge(account, start_cost(weight));
        }
        self.rates.record_arrival(priority, now);
        self.count_start(priority, now);
    }

    /// Removes a request whose caller has left.
    ///
    /// ```
    /// use route::{QueueKey, RequestQueue, RequestQueueSettings};
    ///
    /// let mut queue = RequestQueue::new(RequestQueueSettings::default());
    /// queue.remove(QueueKey::default()); // It does not wait.
    /// assert!(queue.is_empty());
    /// ```
    pub fn remove(&mut self, key: QueueKey) {
        self.displaced.retain(|(displaced, _)| *displaced != key);
        self.detach(key);
    }

    /// Whether a request of this priority may start without queueing: nobody of
    /// the same or a more urgent priority waits, and the next start is not due
    /// to a less urgent one.
    ///
    /// ```
    /// use route::{Priority, RequestQueue, RequestQueueSettings};
    ///
    /// let queue = RequestQueue::new(RequestQueueSettings::default());
    /// assert!(queue.has_precedence(Priority::default(), std::time::Instant::now()));
    /// ```
    #[must_use]
    pub fn has_precedence(&self, priority: Priority, now: Instant) -> bool {
        let first = self.classes.keys().next();
        first.is_none_or(|first| priority < *first) && !self.background.is_due(priority, now)
    }

    /// Sets until when no target is predicted to be available, or that one is.
    ///
    /// The measured rates are kept meanwhile. A start after the predicted end
    /// also ends the pause.
    ///
    /// ```
    /// use route::{Priority, RequestQueue, RequestQueueSettings};
    /// use std::time::{Duration, Instant};
    ///
    /// let now = Instant::now();
    /// let mut queue = RequestQueue::new(RequestQueueSettings::default());
    /// queue.set_paused(Some(now + Duration::from_secs(3)));
    /// assert_eq!(queue.predicted_wait(Priority::default(), now), Duration::from_secs(3));
    /// queue.set_paused(None);
    /// assert_eq!(queue.predicted_wait(Priority::default(), now), Duration::ZERO);
    /// ```
    pub fn set_paused(&mut self, until: Option<Instant>) {
        self.rates.set_paused(until);
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns how many requests of each priority wait, and for how long.
    ///
    /// ```
    /// use route::{RequestQueue, RequestQueueSettings};
    ///
    /// let queue = RequestQueue::new(RequestQueueSettings::default());
    /// assert!(queue.stats(std::time::Instant::now()).is_empty());
    /// ```
    #[must_use]
    pub fn stats(&self, now: Instant) -> Vec<QueueStats> {
        let stats = self.classes.iter().map(|(priority, class)| {
            let oldest = class.arrivals.values().next();
            let oldest = oldest.map(|key| now.saturating_duration_since(self.requests[*key].since));
            QueueStats {
                priority: *priority,
                waiting: class.len(),
                oldest: oldest.unwrap_or(Duration::ZERO),
            }
        });
        stats.collect()
    }

    pub(crate) fn refusal(
        &self,
        reason: QueueRefusalReason,
        priority: Priority,
        now: Instant,
    ) -> QueueRefusal {
        QueueRefusal::new(reason, self.predicted_wait(priority, now))
    }

    /// Removes a request from the queue in any way.
    pub(crate) fn detach(&mut self, key: QueueKey) {
        let Some(waiting) = self.requests.remove(key) else {
            return;
        };
        let request = &waiting.request;
        self.by_useful.remove(&(request.useful_until, key));
        self.bytes = self.bytes.saturating_sub(request.bytes);
        if let Some(usage) = self.usage.get_mut(&request.account) {
            usage.requests = usage.requests.saturating_sub(1);
            usage.bytes = usage.bytes.saturating_sub(request.bytes);
            if usage.requests == 0 {
                self.usage.remove(&request.account);
            }
        }
        if let Some(class) = self.classes.get_mut(&request.priority) {
            class.remove(key, &waiting);
            if class.is_empty() {
                self.classes.remove(&request.priority);
            }
        }
        self.background.retain_below(self.least_urgent());
    }

    fn insert(&mut self, request: QueuedRequest, now: Instant) -> QueueKey {
        self.last_arrival += 1;
        let waiting = WaitingRequest {
            request,
            arrival: self.last_arrival,
            since: now,
        };
        let key = self.requests.insert(waiting);
        self.by_useful.insert((request.useful_until, key));
        self.bytes = self.bytes.saturating_add(request.bytes);
        let usage = self.usage.entry(request.account).or_default();
        usage.requests += 1;
        usage.bytes = usage.bytes.saturating_add(request.bytes);
        let class = self.classes.entry(request.priority).or_default();
        class.insert(key, &waiting);
        key
    }

    fn count_start(&mut self, priority: Priority, now: Instant) {
        self.rates.record_start(now);
        let recent = self.rates.recent_starts(now);
        let least_urgent = self.least_urgent();
        self.background
            .record_start(priority, least_urgent, recent, now);
    }

    /// The least urgent priority of those that wait.
    fn least_urgent(&self) -> Option<Priority> {
        self.classes.keys().next_back().copied()
    }
}
