//! Prediction of starts in a request queue, and refusal of what cannot be served.

use std::time::{Duration, Instant};

use crate::class_order::ClassOrder;
use crate::queue_class::count;
use crate::{Priority, QueueKey, QueueRefusal, QueueRefusalReason, QueuedRequest, RequestQueue};

/// How often the starts of the waiting requests are predicted anew.
const PREDICTION_INTERVAL: Duration = Duration::from_millis(50);
/// How far the predicted wait must exceed the remaining time before a waiting
/// request is refused. The measured rate varies by some ten percent, which must
/// not refuse requests that have nearly reached the front.
const HYSTERESIS: f64 = 1.5;
/// Longest predicted wait.
const MAX_WAIT: Duration = Duration::from_hours(1);

impl RequestQueue {
    /// Predicts how long a request of this priority would wait; zero if no rate
    /// of starts has been measured.
    ///
    /// The rate is that of the last two seconds, less the arrivals of more urgent
    /// requests, but at least the background share.
    ///
    /// ```
    /// use route::{Priority, RequestQueue, RequestQueueSettings};
    /// use std::time::{Duration, Instant};
    ///
    /// let queue = RequestQueue::new(RequestQueueSettings::default());
    /// let wait = queue.predicted_wait(Priority::default(), Instant::now());
    /// assert_eq!(wait, Duration::ZERO);
    /// ```
    #[must_use]
    pub fn predicted_wait(&self, priority: Priority, now: Instant) -> Duration {
        let ahead = self.classes.range(..=priority);
        let ahead = ahead.map(|(_, class)| count(class.len())).sum();
        self.wait(priority, ahead, self.background_ahead(priority), now)
    }

    /// Returns the requests that must be refused now: expired, displaced, or no
    /// longer servable in time.
    ///
    /// ```
    /// use route::{QueueRefusalReason, QueuedRequest, RequestQueue, RequestQueueSettings};
    /// use std::time::{Duration, Instant};
    ///
    /// let now = Instant::now();
    /// let mut queue = RequestQueue::new(RequestQueueSettings::default());
    /// let request = QueuedRequest {
    ///     priority: route::Priority::default(),
    ///     account: 0,
    ///     weight: 1.0,
    ///     bytes: 100,
    ///     on_time_until: None,
    ///     useful_until: now + Duration::from_secs(1),
    /// };
    /// let key = queue.push(request, now).unwrap();
    /// assert!(queue.refuse_unservable(now).is_empty());
    /// let refused = queue.refuse_unservable(now + Duration::from_secs(1));
    /// assert_eq!(refused[0].0, key);
    /// assert_eq!(refused[0].1.reason, QueueRefusalReason::Expired);
    /// ```
    pub fn refuse_unservable(&mut self, now: Instant) -> Vec<(QueueKey, QueueRefusal)> {
        self.rates.advance(now);
        let mut refused = std::mem::take(&mut self.displaced);
        let expired = self.by_useful.iter().take_while(|(until, _)| *until <= now);
        let expired: Vec<QueueKey> = expired.map(|(_, key)| *key).collect();
        for key in expired {
            let priority = self.requests[key].request.priority;
            self.detach(key);
            let refusal = self.refusal(QueueRefusalReason::Expired, priority, now);
            refused.push((key, refusal));
        }
        if self.next_prediction(now) <= now {
            self.predicted_at = Some(now);
            for (key, wait) in self.unservable(now) {
                self.detach(key);
                let refusal = QueueRefusal::new(QueueRefusalReason::Unservable, wait);
                refused.push((key, refusal));
            }
        }
        refused
    }

    /// Returns when `refuse_unservable` should be called next, or `None` if
    /// nothing is to be refused before the queue changes.
    ///
    /// ```
    /// use route::{RequestQueue, RequestQueueSettings};
    ///
    /// let queue = RequestQueue::new(RequestQueueSettings::default());
    /// assert_eq!(queue.next_check(std::time::Instant::now()), None);
    /// ```
    #[must_use]
    pub fn next_check(&self, now: Instant) -> Option<Instant> {
        if !self.displaced.is_empty() {
            return Some(now);
        }
        let (expiry, _) = self.by_useful.first()?;
        Some((*expiry).min(self.next_prediction(now)).max(now))
    }

    /// Refuses a new request that cannot start in time.
    pub(crate) fn check_servable(
        &self,
        request: &QueuedRequest,
        now: Instant,
    ) -> Result<(), QueueRefusal> {
        if request.is_expired(now) {
            return Err(self.refusal(QueueRefusalReason::Expired, request.priority, now));
        }
        let wait = self.predicted_wait_of(request, now);
        if wait > request.useful_until.saturating_duration_since(now) {
            return Err(QueueRefusal::new(QueueRefusalReason::Unservable, wait));
        }
        Ok(())
    }

    /// Predicts the wait of a new request. Unlike that of its priority, it counts
    /// only those requests of other accounts that precede it in the fair queue.
    fn predicted_wait_of(&self, request: &QueuedRequest, now: Instant) -> Duration {
        let urgent = self.classes.range(..request.priority);
        let mut ahead: f64 = urgent.map(|(_, class)| count(class.len())).sum();
        if let Some(class) = self.classes.get(&request.priority) {
            let own = class.own_ahead_of(request, now);
            ahead += class.ahead_of(request.account, request.cost(), own);
        }
        let background = self.background_ahead(request.priority);
        self.wait(request.priority, ahead, background, now)
    }

    /// Number of waiting requests that share the background share with a new one
    /// of this priority, or `None` if it is the most urgent.
    fn background_ahead(&self, priority: Priority) -> Option<f64> {
        let (top, class) = self.classes.first_key_value()?;
        (*top < priority).then(|| count(self.len() - class.len()))
    }

    /// Predicts a wait: `ahead` requests precede by priority, or, where the next
    /// start is due to less urgent requests, `background_ahead` do by age.
    fn wait(
        &self,
        priority: Priority,
        ahead: f64,
        background_ahead: Option<f64>,
        now: Instant,
    ) -> Duration {
        let pause = self.rates.pause_left(now);
        let Some(rate) = self.rates.start_rate(now) else {
            return pause.min(MAX_WAIT);
        };
        let background_rate = rate * self.settings.background_share;
        let left_over = rate - self.rates.urgent_arrival_rate(priority, now);
        let mut seconds = ahead / left_over.max(background_rate);
        if let Some(background_ahead) = background_ahead {
            seconds = seconds.min(background_ahead / background_rate);
        }
        // 0 / 0 without a background share, and nobody ahead.
        let seconds = if seconds.is_nan() { 0.0 } else { seconds };
        let wait = Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()));
        pause.saturating_add(wait).min(MAX_WAIT)
    }

    fn next_prediction(&self, now: Instant) -> Instant {
        let next = self
            .predicted_at
            .and_then(|at| at.checked_add(PREDICTION_INTERVAL));
        next.unwrap_or(now)
    }

    /// Returns the waiting requests that cannot start in time, and their
    /// predicted waits. Those that are refused do not count as ahead of others.
    fn unservable(&self, now: Instant) -> Vec<(QueueKey, Duration)> {
        let mut unservable = Vec::new();
        let mut refused_arrivals = Vec::new();
        let mut ahead = 0.0;
        let background = self.background_ranks();
        for (priority, class) in &self.classes {
            let mut order = ClassOrder::new(*priority, class, &self.requests, now);
            while let Some(key) = order.take_next() {
                let waiting = &self.requests[key];
                let rank = background.binary_search(&waiting.arrival).ok().map(|rank| {
                    let refused = refused_arrivals.iter();
                    count(rank - refused.filter(|other| **other < waiting.arrival).count())
                });
                let wait = self.wait(*priority, ahead, rank, now);
                let left = waiting.request.useful_until.saturating_duration_since(now);
                if wait.as_secs_f64() > HYSTERESIS * left.as_secs_f64() {
                    unservable.push((key, wait));
                    if rank.is_some() {
                        refused_arrivals.push(waiting.arrival);
                    }
                } else {
                    ahead += 1.0;
                }
            }
        }
        unservable
    }

    /// Returns the arrivals of all waiting requests but the most urgent ones, in
    /// order.
    fn background_ranks(&self) -> Vec<u64> {
        let classes = self.classes.values().skip(1);
        let mut ranks: Vec<u64> = classes
            .flat_map(|class| class.arrivals.keys().copied())
            .collect();
        ranks.sort_unstable();
        ranks
    }
}
