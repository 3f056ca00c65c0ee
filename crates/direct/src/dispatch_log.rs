//! Logs the attempts of a request.

use crate::dispatch::Dispatch;
use crate::permit::Permit;
use route::Fingerprint;
use std::time::{Duration, Instant};

impl Dispatch {
    /// Logs the chosen target and the load known of it.
    pub(crate) fn log_sent(&self, permit: &Permit) {
        let load = permit.load_estimate();
        let age = load.and_then(|load| load.age);
        let age = age.map_or_else(|| "never".to_owned(), |age| age.as_millis().to_string());
        let left = self.time_left();
        let to_objective = self.time_to_objective(Instant::now()).min(left);
        let parts: Vec<String> = self.features.parts.iter().map(Fingerprint::short).collect();
        log::info!(
            request = self.req.id.as_str(), target_id = permit.endpoint().id.as_str(),
            service = self.service.as_str(), attempts_left = self.attempts_left,
            digest = self.features.request.short().as_str(), parts = parts.join(",").as_str(),
            on_time_ms:display = to_objective.as_millis(),
            own = load.map_or(0, |load| load.own), others = load.map_or(0, |load| load.others),
            told_ms_ago = age.as_str(),
            left_ms:display = left.as_millis();
            "sent to a target"
        );
    }

    /// Logs and counts an attempt without a response to forward. `what` is a metric
    /// label.
    pub(crate) fn log_failed_attempt(&self, permit: &Permit, what: &str, why: &str) {
        self.metrics.attempt_failed(what);
        log::info!(
            request = self.req.id.as_str(), target_id = permit.endpoint().id.as_str(),
            service = self.service.as_str(), attempts_left = self.attempts_left,
            left_ms:display = self.time_left().as_millis();
            "attempt {what}: {why}"
        );
    }

    /// Logs the end of a response without a length or chunks, which may be incomplete.
    pub(crate) fn log_ended_by_close(&self, permit: &Permit) {
        log::info!(
            request = self.req.id.as_str(), target_id = permit.endpoint().id.as_str(),
            service = self.service.as_str();
            "response ended with its connection"
        );
    }

    /// Logs that a target wants no more requests for a while.
    pub(crate) fn log_rest(&self, permit: &Permit, rest: Duration) {
        log::info!(
            request = self.req.id.as_str(), target_id = permit.endpoint().id.as_str(),
            service = self.service.as_str(), rest_ms:display = rest.as_millis();
            "target asks for rest"
        );
    }
}
