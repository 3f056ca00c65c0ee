//! Streams that are kept open while no target can go on with them.

use crate::dispatch::Dispatch;
use crate::exchange::Head;
use crate::permit::Permit;
use crate::refusal::Reason;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Time before its caller leaves at which a stream is broken off, so that the caller hears
/// of it and can resume it.
const LEAVE_MARGIN: Duration = Duration::from_millis(100);

impl Dispatch {
    /// Until when a stream is kept open whose caller has received the last event at
    /// `delivered`: shortly before the caller leaves, or its deadline.
    pub(crate) fn hold_until(&self, delivered: Instant) -> Instant {
        let silence = self.kind.max_silence();
        let leaves = silence.map_or(self.deadline, |silence| delivered + silence);
        let leaves = leaves.min(self.deadline);
        leaves.checked_sub(LEAVE_MARGIN).unwrap_or(leaves)
    }

    /// Whether to go on waiting for a silent target: no other one could go on with the
    /// stream now, and the caller still waits.
    pub(crate) fn should_keep_target(&self, delivered: Instant) -> bool {
        let now = Instant::now();
        let can_move =
            self.attempts_left > 0 && self.balancer.can_resume(&self.service, &self.tried, now);
        !can_move && now < self.hold_until(delivered)
    }

    /// Resumes a stream after the last event received, at the first target that takes it.
    /// The stream is kept open until then, as long as its caller waits.
    pub(crate) async fn resume_when_able(
        &mut self,
        last_event_id: Option<u64>,
        delivered: Instant,
    ) -> Option<(Head, Permit)> {
        let until = self.hold_until(delivered);
        let resumed = timeout_at(until.into(), self.resume_at_next(last_event_id)).await;
        resumed.ok().flatten()
    }

    async fn resume_at_next(&mut self, last_event_id: Option<u64>) -> Option<(Head, Permit)> {
        let mut is_held = false;
        loop {
            if !self.may_resume() {
                return None;
            }
            let permit = match self.acquire() {
                Ok(permit) => permit,
                Err(Reason::Quarantined) => return None,
                Err(reason) => {
                    if !is_held {
                        is_held = true;
                        self.record_hold(last_event_id, reason);
                    }
                    self.acquire_or_wait().await.ok()?
                }
            };
            // Only a resumption is charged to the retry budget, not the wait for it.
            if !self.try_retry(Reason::Lost) {
                return None;
            }
            if let Some(resumed) = self.resume_at(permit, last_event_id).await {
                if is_held {
                    self.balancer.outage_metrics.stream_resumed(&self.service);
                }
                return Some(resumed);
            }
        }
    }

    fn may_resume(&self) -> bool {
        let now = Instant::now();
        self.is_repeatable_after(Reason::Lost)
            && self.balancer.can_withdraw_retry(&self.service, now)
    }

    fn record_hold(&self, last_event_id: Option<u64>, reason: Reason) {
        self.balancer.outage_metrics.stream_held(&self.service);
        log::info!(
            request = self.req.id.as_str(), service = self.service.as_str(),
            after = last_event_id.unwrap_or(0),
            left_ms:display = self.time_left().as_millis();
            "stream held: {reason}"
        );
    }
}
