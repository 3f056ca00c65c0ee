//! Requests that wait for a slot in the order of their priorities.

use crate::balancer_queue::Acquisition;
use crate::dispatch::Dispatch;
use crate::permit::Permit;
use crate::refusal::Reason;
use crate::waiting::{SlotRefusal, SlotRequest, TRIED_VALIDITY};
use route::account_hash;
use std::time::{Duration, Instant};

/// Weight of each client account: the route table has none.
const ACCOUNT_WEIGHT: f64 = 1.0;

impl Dispatch {
    /// Acquires a slot of a target, or waits for one in the order of priorities. None if
    /// requests of the service all have the same priority.
    pub(crate) async fn acquire_by_priority(&mut self) -> Option<Result<Permit, Reason>> {
        if !self.balancer.has_queue(&self.service) {
            return None;
        }
        if self.crash_reports.must_refuse(&self.features) {
            return Some(Err(Reason::Quarantined));
        }
        let arrived = Instant::now();
        let request = self.slot_request();
        let acquisition = self
            .balancer
            .acquire_by_priority(&self.service, request, arrived)?;
        let mut place = match acquisition {
            Acquisition::Started(permit) => {
                self.tried.push(permit.key());
                return Some(Ok(permit));
            }
            Acquisition::Refused(refusal) => {
                let predicted = refusal.retry_after;
                return Some(Err(self.refuse_slot(&refusal, Duration::ZERO, predicted)));
            }
            Acquisition::Waiting(place) => place,
        };
        self.log_queued(place.predicted);
        let admission = place.wait(self.deadline).await;
        let (waited, predicted) = (arrived.elapsed(), place.predicted);
        self.metrics.waited(&self.service, waited);
        match admission? {
            Ok(permit) => Some(self.accept_slot(permit, waited, predicted)),
            Err(refusal) => Some(Err(self.refuse_slot(&refusal, waited, predicted))),
        }
    }

    fn slot_request(&self) -> SlotRequest {
        let headers = self.req.headers.iter();
        let headers = headers.map(|(name, value)| name.as_str().len() + value.len());
        let silence = self.quiet_since.zip(self.kind.max_silence());
        let receives_events = self.req.last_event_id.is_some() || self.response_started;
        SlotRequest {
            priority: self.priority,
            account: self
                .account
                .as_deref()
                .map_or(0, |name| account_hash(name).into()),
            weight: ACCOUNT_WEIGHT,
            bytes: self.req.body.len() + self.req.path.len() + headers.sum::<usize>(),
            tried: self.tried.clone(),
            objective_until: if receives_events {
                Some(self.deadline)
            } else {
                self.objective_deadline
            },
            deadline: self.deadline,
            leaves_at: silence.map(|(since, max_silence)| since + max_silence),
        }
    }

    /// Takes a slot that was handed to the request while it waited.
    fn accept_slot(
        &mut self,
        permit: Permit,
        waited: Duration,
        predicted: Duration,
    ) -> Result<Permit, Reason> {
        // Targets may have crashed under such requests meanwhile.
        if self.crash_reports.must_refuse(&self.features) {
            return Err(Reason::Quarantined);
        }
        if waited >= TRIED_VALIDITY {
            self.tried.clear();
        }
        self.tried.push(permit.key());
        self.metrics
            .started_after_wait(&self.service, self.priority);
        log::info!(
            request = self.req.id.as_str(), service = self.service.as_str(),
            priority = self.priority.account, route_priority = self.priority.route,
            wait_ms:display = waited.as_millis(), predicted_ms:display = predicted.as_millis(),
            left_ms:display = self.time_left().as_millis();
            "started after waiting"
        );
        Ok(permit)
    }

    /// Records that the request gets no slot, and returns the reason.
    fn refuse_slot(
        &mut self,
        refusal: &SlotRefusal,
        waited: Duration,
        predicted: Duration,
    ) -> Reason {
        self.predicted_wait = refusal.retry_after;
        let why = refusal
            .queue_reason
            .map_or_else(|| refusal.reason.to_string(), |why| format!("{why:?}"));
        self.metrics
            .slot_refused(&self.service, self.priority, &why);
        log::info!(
            request = self.req.id.as_str(), service = self.service.as_str(),
            priority = self.priority.account, route_priority = self.priority.route,
            wait_ms:display = waited.as_millis(), predicted_ms:display = predicted.as_millis(),
            left_ms:display = self.time_left().as_millis();
            "got no slot: {why}"
        );
        refusal.reason
    }

    fn log_queued(&self, predicted: Duration) {
        log::info!(
            request = self.req.id.as_str(), service = self.service.as_str(),
            priority = self.priority.account, route_priority = self.priority.route,
            predicted_ms:display = predicted.as_millis(),
            left_ms:display = self.time_left().as_millis();
            "waiting for a free slot"
        );
    }
}
