//! A slot of a target, held by one request.

use crate::balancer::{Balancer, HeadReport};
use crate::dialect::{ResponseInfo, Verdict};
use crate::service_targets::Endpoint;
use route::{DispatchOutcome, LoadEstimate, TargetKey};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A slot of a target, held by one request and released on drop.
#[derive(Debug)]
pub(crate) struct Permit {
    balancer: Arc<Balancer>,
    service: String,
    key: TargetKey,
    endpoint: Endpoint,
    outcome: DispatchOutcome,
    acquired_at: Instant,
    /// The target's load as known when the target was chosen.
    load_estimate: Option<LoadEstimate>,
}

impl Permit {
    pub(crate) fn new(
        balancer: Arc<Balancer>,
        service: &str,
        key: TargetKey,
        endpoint: Endpoint,
        load_estimate: Option<LoadEstimate>,
    ) -> Permit {
        Permit {
            balancer,
            service: service.to_owned(),
            key,
            endpoint,
            outcome: DispatchOutcome::Abandoned,
            acquired_at: Instant::now(),
            load_estimate,
        }
    }

    pub(crate) fn key(&self) -> TargetKey {
        self.key
    }

    pub(crate) fn load_estimate(&self) -> Option<LoadEstimate> {
        self.load_estimate
    }

    /// When the target was chosen.
    pub(crate) fn acquired_at(&self) -> Instant {
        self.acquired_at
    }

    /// Whether the stream that holds the slot should move to another target.
    pub(crate) fn should_move(&self, now: Instant) -> bool {
        self.balancer.should_move(&self.service, self.key, now)
    }

    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Records what the head of the response says about the target.
    pub(crate) fn record_head(&self, info: &ResponseInfo) {
        let is_target = info.verdict != Verdict::Replaced;
        let head = HeadReport {
            sent: self.acquired_at,
            load: info.load,
            rest: info.rest.filter(|_| is_target),
            leaving: is_target && info.leaving,
            accepted: is_target && info.verdict != Verdict::NotRun,
        };
        let target = (self.key, &self.endpoint);
        self.balancer
            .record_head(&self.service, target, &head, Instant::now());
    }

    /// Records the pause between two events of a stream, and the longest pause
    /// that is still on time.
    pub(crate) fn record_pause(&self, pause: Duration, max_pause: Duration, now: Instant) {
        self.balancer
            .record_pause(&self.service, self.key, (pause, max_pause), now);
    }

    /// Releases the slot with an outcome. A permit that is dropped without one
    /// counts as abandoned by the caller.
    pub(crate) fn finish(mut self, outcome: DispatchOutcome) {
        self.outcome = outcome;
    }

    pub(crate) fn set_outcome(&mut self, outcome: DispatchOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = Instant::now();
        let ended = (self.outcome, now - self.acquired_at);
        self.balancer.finish(&self.service, self.key, ended, now);
    }
}
