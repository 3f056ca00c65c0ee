//! Requests that wait for a slot in the order of their priorities.

use crate::balancer::{Balancer, Inner};
use crate::handover::{Handover, Slot};
use crate::permit::Permit;
use crate::refusal::Reason;
use crate::service_targets::ServiceTargets;
use crate::waiting::{Admission, SlotRefusal, SlotRequest, WaitingRequests};
use route::{QueueKey, QueueStats};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout_at};

/// Interval at which waiting requests are tried if nothing else happens. Rests, ejections,
/// limits per second and estimates of other entries' requests end by themselves.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Minimum time between two rounds of [`run`], whatever times are due.
const MIN_ROUND: Duration = Duration::from_millis(1);

/// What became of a request for a slot.
#[derive(Debug)]
pub(crate) enum Acquisition {
    Started(Permit),
    Waiting(QueuePlace),
    Refused(SlotRefusal),
}

/// The place of a waiting request in its queue, which it leaves on drop.
#[derive(Debug)]
pub(crate) struct QueuePlace {
    balancer: Arc<Balancer>,
    service: String,
    key: QueueKey,
    rx: oneshot::Receiver<Admission>,
    /// Predicted wait at the time of arrival.
    pub(crate) predicted: Duration,
}

impl QueuePlace {
    /// Waits for a slot or a refusal until `deadline`; none if the queue has ended.
    pub(crate) async fn wait(&mut self, deadline: Instant) -> Option<Admission> {
        match timeout_at(deadline.into(), &mut self.rx).await {
            Ok(told) => told.ok(),
            Err(_) => Some(Err(SlotRefusal {
                reason: Reason::Expired,
                queue_reason: None,
                retry_after: Duration::ZERO,
            })),
        }
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.rx.close();
        // A slot that was handed over already is released unused with its permit.
        drop(self.rx.try_recv());
        self.balancer.leave_queue(&self.service, self.key);
    }
}

impl Balancer {
    /// Whether requests to the service have different priorities.
    pub(crate) fn has_queue(&self, service: &str) -> bool {
        let inner = self.inner();
        let targets = inner.services.get(service);
        targets.is_some_and(|targets| targets.waiting.is_some())
    }

    /// Starts a request at a target, or queues it; none if the service has no queue since
    /// its requests all have the same priority.
    pub(crate) fn acquire_by_priority(
        self: &Arc<Balancer>,
        service: &str,
        request: SlotRequest,
        now: Instant,
    ) -> Option<Acquisition> {
        let mut inner = self.inner();
        let Inner { rng, services, .. } = &mut *inner;
        let targets = services.get_mut(service)?;
        update_pause(targets, now);
        let waiting = targets.waiting.as_mut()?;
        waiting.record_arrival(&request, now);
        let may_start = waiting.queue.has_precedence(request.priority, now);
        let slot = may_start.then(|| targets.take_slot(&request, now, rng));
        if let Some(slot) = slot.flatten() {
            if let Some(waiting) = &mut targets.waiting {
                waiting.record_direct_start(&request, now);
            }
            drop(inner);
            return Some(Acquisition::Started(self.permit(service, slot)));
        }
        let was_empty = waiting_count(targets) == 0;
        let queued = push(targets, request, now);
        drop(inner);
        let acquisition = match queued {
            Err(refusal) => Acquisition::Refused(refusal),
            Ok((key, rx, predicted)) => {
                if was_empty {
                    self.queue_timer.notify_one();
                }
                Acquisition::Waiting(QueuePlace {
                    balancer: Arc::clone(self),
                    service: service.to_owned(),
                    key,
                    rx,
                    predicted,
                })
            }
        };
        // The request may have displaced another one, or be the only one that a free
        // target has not seen yet.
        self.drain_queue(service, now);
        Some(acquisition)
    }

    /// Hands free slots of a service to its waiting requests.
    pub(crate) fn drain_queue(self: &Arc<Balancer>, service: &str, now: Instant) {
        let mut inner = self.inner();
        let Inner { rng, services, .. } = &mut *inner;
        let Some(targets) = services.get_mut(service) else {
            return;
        };
        if waiting_count(targets) == 0 {
            return;
        }
        update_pause(targets, now);
        let handovers = targets.hand_over(now, rng);
        // A permit that is dropped takes the lock.
        drop(inner);
        for Handover { tx, outcome } in handovers {
            // If the caller has left, the permit is released here, which hands it on.
            drop(tx.send(outcome.map(|slot| self.permit(service, slot))));
        }
    }

    /// Hands free slots of all services to their waiting requests.
    pub(crate) fn drain_queues(self: &Arc<Balancer>, now: Instant) {
        let inner = self.inner();
        let services = inner.services.iter();
        let services = services.filter(|(_, targets)| targets.waiting.is_some());
        let names: Vec<String> = services.map(|(name, _)| name.clone()).collect();
        drop(inner);
        for name in names {
            self.drain_queue(&name, now);
        }
    }

    /// Removes a request whose caller has left.
    fn leave_queue(self: &Arc<Balancer>, service: &str, key: QueueKey) {
        let mut inner = self.inner();
        let targets = inner.services.get_mut(service);
        if let Some(waiting) = targets.and_then(|targets| targets.waiting.as_mut()) {
            waiting.remove_left(key);
        }
        drop(inner);
        // The one that found no room may have kept others waiting that find some.
        self.drain_queue(service, Instant::now());
    }

    /// When the waiting requests must be tried next, if any wait.
    fn next_drain(&self, now: Instant) -> Option<Instant> {
        let inner = self.inner();
        let due = inner.services.values().filter_map(|targets| {
            let waiting = targets.waiting.as_ref().filter(|w| w.len() > 0)?;
            let times = [waiting.queue.next_check(now), targets.set.next_probe()];
            let times = times.into_iter().flatten().filter(|at| *at > now);
            Some(times.fold(now + POLL_INTERVAL, Instant::min))
        });
        due.min()
    }

    /// For each service and priority with which requests have waited: those that wait.
    pub(crate) fn queue_stats(&self, now: Instant) -> Vec<(String, QueueStats)> {
        let inner = self.inner();
        let stats = inner.services.iter().flat_map(|(name, targets)| {
            let stats = targets.waiting.as_ref().map(|w| w.stats(now));
            let stats = stats.unwrap_or_default().into_iter();
            stats.map(|each| (name.clone(), each))
        });
        stats.collect()
    }

    fn permit(self: &Arc<Balancer>, service: &str, slot: Slot) -> Permit {
        let Slot {
            key,
            endpoint,
            load,
        } = slot;
        Permit::new(Arc::clone(self), service, key, endpoint, load)
    }
}

fn waiting_count(targets: &ServiceTargets) -> usize {
    targets.waiting.as_ref().map_or(0, WaitingRequests::len)
}

/// Adds a request to the queue of a service that has one.
fn push(
    targets: &mut ServiceTargets,
    request: SlotRequest,
    now: Instant,
) -> Result<(QueueKey, oneshot::Receiver<Admission>, Duration), SlotRefusal> {
    let has_available = targets.outage_left(now).is_none();
    let mean_duration = targets.set.mean_duration();
    let ended = SlotRefusal {
        reason: Reason::Full,
        queue_reason: None,
        retry_after: Duration::ZERO,
    };
    let waiting = targets.waiting.as_mut().ok_or(ended)?;
    let predicted = waiting.queue.predicted_wait(request.priority, now);
    let (key, rx) = waiting
        .push(request, mean_duration, now)
        .map_err(|refusal| SlotRefusal::new(refusal, has_available))?;
    Ok((key, rx, predicted))
}

/// Tells the queue when targets should take requests again: when the outage of the service
/// should end, or a rest that all targets have asked for.
fn update_pause(targets: &mut ServiceTargets, now: Instant) {
    targets.observe_outage(now);
    let end = targets.outage.as_ref().and_then(|o| o.predicted_end(now));
    let rest = || targets.set.time_to_rest_end(now).map(|rest| now + rest);
    let end = end.or_else(rest);
    if let Some(waiting) = &mut targets.waiting {
        waiting.set_paused(end);
    }
}

/// Tries waiting requests at the times that are due without an event, until the balancer
/// is dropped.
pub(crate) async fn run(balancer: Weak<Balancer>) {
    loop {
        let Some(strong) = balancer.upgrade() else {
            return;
        };
        let now = Instant::now();
        strong.drain_queues(now);
        let next = strong.next_drain(now);
        let timer = Arc::clone(&strong.queue_timer);
        drop(strong);
        match next {
            Some(at) => {
                let _ = timeout_at(at.into(), timer.notified()).await;
            }
            None => timer.notified().await,
        }
        sleep(MIN_ROUND).await;
    }
}

#[cfg(test)]
#[path = "../tests/unit/balancer_queue.rs"]
#[allow(clippy::unwrap_used, reason = "a test fails by panicking")]
mod tests;
