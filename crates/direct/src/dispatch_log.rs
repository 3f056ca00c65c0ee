//! What is logged of a request's attempts.

use crate::dispatch::Dispatch;
use crate::permit::Permit;
use std::time::Instant;

impl Dispatch {
    /// Which target was chosen, and what was known of its load.
    pub(crate) fn log_sent(&self, permit: &Permit) {
        let seen = permit.seen();
        let age = seen.and_then(|seen| seen.age);
        let age = age.map_or_else(|| "never".to_owned(), |age| age.as_millis().to_string());
        let left = self.left();
        let on_time = self.left_on_time(Instant::now()).min(left);
        log::info!(
            request = self.req.id.as_str(), target_id = permit.endpoint().id.as_str(),
            service = self.service.as_str(), attempts_left = self.attempts,
            on_time_ms:display = on_time.as_millis(),
            own = seen.map_or(0, |seen| seen.own), others = seen.map_or(0, |seen| seen.others),
            told_ms_ago = age.as_str(),
            left_ms:display = left.as_millis();
            "sent to a target"
        );
    }

    /// Why an attempt gives nothing to pass on.
    pub(crate) fn log_miss(&self, permit: &Permit, what: &str, why: &str) {
        self.metrics.miss(what);
        log::info!(
            request = self.req.id.as_str(), target_id = permit.endpoint().id.as_str(),
            service = self.service.as_str(), attempts_left = self.attempts,
            left_ms:display = self.left().as_millis();
            "attempt {what}: {why}"
        );
    }
}
