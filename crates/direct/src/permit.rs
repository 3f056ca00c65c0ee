//! One request at a target.

use crate::placer::Placer;
use crate::service_targets::Endpoint;
use route::{DispatchOutcome, LoadEstimate, ReportedLoad, TargetKey};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One request at a target; its place is free again when this is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    placer: Arc<Placer>,
    service: String,
    key: TargetKey,
    endpoint: Endpoint,
    outcome: DispatchOutcome,
    /// When its place was taken.
    since: Instant,
    /// The target's load as it was known when it was chosen.
    seen: Option<LoadEstimate>,
}

impl Permit {
    pub(crate) fn new(
        placer: Arc<Placer>,
        service: &str,
        key: TargetKey,
        endpoint: Endpoint,
        seen: Option<LoadEstimate>,
    ) -> Permit {
        Permit {
            placer,
            service: service.to_owned(),
            key,
            endpoint,
            outcome: DispatchOutcome::Abandoned,
            since: Instant::now(),
            seen,
        }
    }

    pub(crate) fn key(&self) -> TargetKey {
        self.key
    }

    pub(crate) fn seen(&self) -> Option<LoadEstimate> {
        self.seen
    }

    /// Whether its stream should go on elsewhere.
    pub(crate) fn sheds(&self, now: Instant) -> bool {
        self.placer.sheds(&self.service, self.key, now)
    }

    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// The target told its load.
    pub(crate) fn told(&self, load: ReportedLoad) {
        let now = Instant::now();
        self.placer.told(&self.service, self.key, load, now);
    }

    /// Its stream paused for so long between two events.
    pub(crate) fn paused(&self, pause: Duration, most: Duration, now: Instant) {
        self.placer
            .paused(&self.service, self.key, (pause, most), now);
    }

    /// How it went; without a word it counts as abandoned by its caller.
    pub(crate) fn ended(mut self, outcome: DispatchOutcome) {
        self.outcome = outcome;
    }

    pub(crate) fn set(&mut self, outcome: DispatchOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = Instant::now();
        let ended = (self.outcome, now - self.since);
        self.placer.end(&self.service, self.key, ended, now);
    }
}
