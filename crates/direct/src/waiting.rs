//! Requests of one service that wait at this entry for a slot.

use crate::permit::Permit;
use crate::refusal::Reason;
use route::{
    Priority, QueueKey, QueueRefusal, QueueRefusalReason, QueueStats, QueuedRequest, RequestQueue,
    RequestQueueSettings, TargetKey,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Share of the time left that is reserved for the answer while no duration is known.
const ANSWER_SHARE: f64 = 0.125;
/// Maximum share of the time left that is reserved for the answer. During an overload
/// answers take longer than usual; without a bound, no request would be worth a start.
const MAX_ANSWER_SHARE: f64 = 0.5;
/// Weight of the latest response in the mean time to the head of a response.
const HEAD_WEIGHT: f64 = 0.1;
/// Time for which a waiting request is not given to a target that it was sent to before:
/// a target that declined counts as full for about as long.
pub(crate) const TRIED_VALIDITY: Duration = Duration::from_millis(200);

/// A request that needs a slot of a service whose requests have different priorities.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequest {
    pub(crate) priority: Priority,
    /// Hash of the client account, 0 for none.
    pub(crate) account: u64,
    pub(crate) weight: f64,
    /// Memory that the request holds.
    pub(crate) bytes: usize,
    /// Targets that the request was sent to before.
    pub(crate) tried: Vec<TargetKey>,
    /// When the response must start to be on time; none if it is late already.
    pub(crate) objective_until: Option<Instant>,
    pub(crate) deadline: Instant,
    /// When the caller leaves if it has received nothing more by then.
    pub(crate) leaves_at: Option<Instant>,
}

impl SlotRequest {
    /// Time left until the response must start to be on time.
    pub(crate) fn time_to_objective(&self, now: Instant) -> Duration {
        let until = self.objective_until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}

/// Why a request got no slot, and when to retry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotRefusal {
    pub(crate) reason: Reason,
    /// Why the queue refused the request; none if it was not asked.
    pub(crate) queue_reason: Option<QueueRefusalReason>,
    pub(crate) retry_after: Duration,
}

impl SlotRefusal {
    /// A refusal of the queue, by whether any target takes work.
    pub(crate) fn new(refusal: QueueRefusal, has_available: bool) -> SlotRefusal {
        SlotRefusal {
            reason: if has_available {
                Reason::Full
            } else {
                Reason::NoTarget
            },
            queue_reason: Some(refusal.reason),
            retry_after: refusal.retry_after,
        }
    }
}

/// What a waiting request is told.
pub(crate) type Admission = Result<Permit, SlotRefusal>;

/// A request that waits.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) request: SlotRequest,
    queued_at: Instant,
    pub(crate) tx: oneshot::Sender<Admission>,
}

impl Waiter {
    /// Targets that the request is not given to for now.
    pub(crate) fn tried(&self, now: Instant) -> &[TargetKey] {
        if now.saturating_duration_since(self.queued_at) < TRIED_VALIDITY {
            &self.request.tried
        } else {
            &[]
        }
    }
}

/// The requests of one service that wait at this entry, with those who are told when they
/// get a slot.
#[derive(Debug)]
pub(crate) struct WaitingRequests {
    pub(crate) queue: RequestQueue,
    waiters: BTreeMap<QueueKey, Waiter>,
    /// Until when the queue expects no available target.
    paused_until: Option<Instant>,
    /// Moving average of the time until the head of a response, for streams their first
    /// event.
    mean_head_time: Option<Duration>,
    /// Time within which the latest request of each priority had to start to be on time.
    slacks: BTreeMap<Priority, Duration>,
    /// Priorities with which requests have waited.
    seen: BTreeSet<Priority>,
}

impl WaitingRequests {
    pub(crate) fn new() -> WaitingRequests {
        WaitingRequests {
            queue: RequestQueue::new(RequestQueueSettings::default()),
            waiters: BTreeMap::new(),
            paused_until: None,
            mean_head_time: None,
            slacks: BTreeMap::new(),
            seen: BTreeSet::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Adds a request that waits from now on. `mean_duration` is the one of requests.
    pub(crate) fn push(
        &mut self,
        request: SlotRequest,
        mean_duration: Option<Duration>,
        now: Instant,
    ) -> Result<(QueueKey, oneshot::Receiver<Admission>), QueueRefusal> {
        let queued = QueuedRequest {
            priority: request.priority,
            account: request.account,
            weight: request.weight,
            bytes: request.bytes,
            on_time_until: self.on_time_until(&request, now),
            useful_until: self.useful_until(&request, mean_duration, now),
        };
        let key = self.queue.push(queued, now)?;
        self.seen.insert(request.priority);
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter {
            request,
            queued_at: now,
            tx,
        };
        self.waiters.insert(key, waiter);
        Ok((key, rx))
    }

    /// Latest start with which the response starts on time.
    fn on_time_until(&self, request: &SlotRequest, now: Instant) -> Option<Instant> {
        let until = request.objective_until?;
        let left = until.saturating_duration_since(now);
        let latest = now + left.saturating_sub(reserve(left, self.mean_head_time));
        (latest > now).then_some(latest)
    }

    /// Latest start that is of use: the answer can be complete by the deadline, and the
    /// caller has not left before it begins.
    fn useful_until(
        &self,
        request: &SlotRequest,
        mean_duration: Option<Duration>,
        now: Instant,
    ) -> Instant {
        let latest = |until: Instant, time| {
            let left = until.saturating_duration_since(now);
            now + left.saturating_sub(reserve(left, time))
        };
        let by_deadline = latest(request.deadline, mean_duration);
        let by_leaving = request.leaves_at.map(|at| latest(at, self.mean_head_time));
        by_leaving.map_or(by_deadline, |at| at.min(by_deadline))
    }

    /// Records that a request has arrived.
    pub(crate) fn record_arrival(&mut self, request: &SlotRequest, now: Instant) {
        if let Some(until) = self.on_time_until(request, now) {
            self.slacks.insert(request.priority, until - now);
        }
    }

    /// Number of slots that requests of this priority leave free for more urgent ones.
    pub(crate) fn reserve(&self, priority: Priority, now: Instant) -> f64 {
        let slack = self.slacks.range(..priority).map(|(_, slack)| *slack).min();
        slack.map_or(0.0, |slack| self.queue.reserve(priority, slack, now))
    }

    /// Records the time until the head of a response that a target has begun.
    pub(crate) fn record_head_time(&mut self, time: Duration) {
        self.mean_head_time = Some(match self.mean_head_time {
            Some(mean) => mean.mul_f64(1.0 - HEAD_WEIGHT) + time.mul_f64(HEAD_WEIGHT),
            None => time,
        });
    }

    /// Records that a request got a slot without waiting.
    pub(crate) fn record_direct_start(&mut self, request: &SlotRequest, now: Instant) {
        let SlotRequest {
            priority,
            account,
            weight,
            ..
        } = *request;
        self.queue.record_start(priority, account, weight, now);
    }

    /// Sets until when no target is expected to be available.
    pub(crate) fn set_paused(&mut self, until: Option<Instant>) {
        // The queue predicts anew with each call.
        if self.paused_until != until {
            self.paused_until = until;
            self.queue.set_paused(until);
        }
    }

    /// The waiting request with this key whose caller has not left.
    pub(crate) fn waiter(&self, key: QueueKey) -> Option<&Waiter> {
        self.waiters
            .get(&key)
            .filter(|waiter| !waiter.tx.is_closed())
    }

    /// Takes out a request that gets a slot.
    pub(crate) fn start(&mut self, key: QueueKey, now: Instant) -> Option<Waiter> {
        self.queue.start(key, now);
        self.waiters.remove(&key)
    }

    /// Takes out the requests that must be refused now.
    pub(crate) fn take_unservable(&mut self, now: Instant) -> Vec<(Waiter, QueueRefusal)> {
        let refused = self.queue.refuse_unservable(now);
        let refused = refused.into_iter().filter_map(|(key, refusal)| {
            let waiter = self.waiters.remove(&key)?;
            Some((waiter, refusal))
        });
        refused.collect()
    }

    /// Takes out a request whose caller has left. Its receiver must be closed: after a
    /// change of the route table, another request may have the same key.
    pub(crate) fn remove_left(&mut self, key: QueueKey) {
        if self.waiters.get(&key).is_some_and(|w| w.tx.is_closed()) {
            self.waiters.remove(&key);
            self.queue.remove(key);
        }
    }

    /// The waiting requests by priority, also of those with which none waits any more.
    pub(crate) fn stats(&self, now: Instant) -> Vec<QueueStats> {
        let mut stats = self.queue.stats(now);
        let waiting: BTreeSet<Priority> = stats.iter().map(|each| each.priority).collect();
        let gone = self.seen.difference(&waiting);
        stats.extend(gone.map(|priority| QueueStats {
            priority: *priority,
            waiting: 0,
            oldest: Duration::ZERO,
        }));
        stats
    }
}

/// Part of the time left that is reserved for an answer that usually takes `time`.
fn reserve(left: Duration, time: Option<Duration>) -> Duration {
    time.map_or(left.mul_f64(ANSWER_SHARE), |time| {
        time.min(left.mul_f64(MAX_ANSWER_SHARE))
    })
}
