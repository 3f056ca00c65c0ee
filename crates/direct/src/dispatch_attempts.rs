//! The attempts of a request at single targets.

use crate::dialect::{ResponseInfo, Verdict};
use crate::dispatch::Dispatch;
use crate::exchange::{Attempt, AttemptError, ConnectionReuse, Head};
use crate::permit::Permit;
use crate::probe::has_exited;
use crate::refusal::Reason;
use crate::target_response::TargetResponse;
use bytes::BytesMut;
use http_body_util::BodyExt;
use member::TargetLimit;
use outlet::Framing;
use route::DispatchOutcome;
use std::pin::pin;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Maximum number of bytes of a response that are buffered until it is complete. A
/// longer response is an error: once part of it is forwarded, a retry would no
/// longer be possible, and the caller could take a truncated one for complete.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// Share of the time left after which a target that has sent nothing is given up, if
/// another one could take the request: the rest is left for that one.
const MAX_SILENCE_SHARE: f64 = 0.5;
/// Minimum time after which a target that has sent nothing is given up.
const MIN_SILENCE: Duration = Duration::from_millis(50);

/// Outcome of one attempt.
pub(crate) enum AttemptOutcome {
    /// A response to forward, and the slot that it still holds.
    Answered(Box<Head>, Permit),
    /// No response that can be forwarded.
    NoResponse(Reason),
    /// A server error of the target, forwarded if no other target can be tried.
    Failed(TargetResponse),
}

impl Dispatch {
    /// Sends the request to one target and waits for the head of the response.
    pub(crate) async fn attempt(
        &mut self,
        mut permit: Permit,
        last_event_id: Option<u64>,
    ) -> AttemptOutcome {
        let reuse = if self.kind.may_repeat() {
            ConnectionReuse::Allowed
        } else {
            ConnectionReuse::Forbidden
        };
        self.log_sent(&permit);
        let result = self.send_unless_moved(reuse, last_event_id, &permit).await;
        let head = match result {
            Ok(head) => head,
            Err(e) => {
                permit.set_outcome(DispatchOutcome::Failed);
                if matches!(e, AttemptError::Broken(_)) {
                    self.has_crashed(&permit).await;
                }
                return AttemptOutcome::NoResponse(self.record_error(&permit, &e));
            }
        };
        permit.record_head(&head.info);
        if head.info.verdict != Verdict::Replaced {
            self.record_limit(&permit, head.info.limit);
            if let Some(rest) = head.info.rest {
                self.log_rest(&permit, rest);
            }
        }
        if let Some((what, outcome)) = not_run(head.info.verdict) {
            self.log_failed_attempt(&permit, what, head.status.as_str());
            permit.finish(outcome);
            return AttemptOutcome::NoResponse(Reason::Declined);
        }
        self.attempts_left -= 1;
        if head.status.is_server_error() && self.kind.may_repeat() && self.attempts_left > 0 {
            self.log_failed_attempt(&permit, "failed", head.status.as_str());
            return match self.buffer_response(head, permit).await {
                Ok(response) => AttemptOutcome::Failed(response),
                Err(reason) => AttemptOutcome::NoResponse(reason),
            };
        }
        AttemptOutcome::Answered(Box::new(head), permit)
    }

    /// Sends the request and waits for the head of the response. Gives up if the
    /// target is unresponsive or slow and another one could take the request now.
    ///
    /// If no other target could, giving up would gain nothing: the request may only
    /// be queued behind many others.
    async fn send_unless_moved(
        &self,
        reuse: ConnectionReuse,
        last_event_id: Option<u64>,
        permit: &Permit,
    ) -> Result<Head, AttemptError> {
        let attempt = self.new_attempt(reuse, last_event_id);
        let mut response = pin!(attempt.send(permit));
        let mut changes = self.balancer.changes();
        let mut inactivity = pin!(sleep(self.max_silence()));
        loop {
            tokio::select! {
                result = &mut response => return result,
                () = &mut inactivity => {
                    if self.can_move() {
                        return Err(AttemptError::Lost("target unresponsive".to_owned()));
                    }
                    inactivity.set(sleep(self.max_silence()));
                }
                // Never fails: `self` holds the balancer, which owns the sender.
                _ = changes.changed() => {
                    if permit.should_move(Instant::now()) && self.can_move() {
                        return Err(AttemptError::Lost("target is slow".to_owned()));
                    }
                }
            }
        }
    }

    /// Time without a response after which the request is sent to another target.
    fn max_silence(&self) -> Duration {
        let share = self.time_left().mul_f64(MAX_SILENCE_SHARE);
        self.timing.inactivity.min(share.max(MIN_SILENCE))
    }

    /// Whether another target could take the request now.
    fn can_move(&self) -> bool {
        let now = Instant::now();
        let allowed = self.kind.may_repeat() && self.attempts_left > 1;
        let left = self.time_to_objective(now);
        allowed
            && self
                .balancer
                .can_retry_elsewhere(&self.service, left, &self.tried, now)
    }

    fn new_attempt(&self, reuse: ConnectionReuse, last_event_id: Option<u64>) -> Attempt<'_> {
        Attempt {
            req: &self.req,
            account: self.account.as_deref(),
            deadline: self.deadline,
            last_event_id,
            urgency: self.urgency,
            reuse,
            dialect: &self.dialect,
            timing: &self.timing,
        }
    }

    /// Logs and counts an attempt that failed without a response.
    fn record_error(&mut self, permit: &Permit, error: &AttemptError) -> Reason {
        match error {
            AttemptError::Unsent(text) => {
                self.log_failed_attempt(permit, "unsent", text);
                self.unsent_attempts += 1;
                Reason::NoTarget
            }
            AttemptError::Broken(text) | AttemptError::Lost(text) => {
                self.log_failed_attempt(permit, "lost", text);
                self.attempts_left = self.attempts_left.saturating_sub(1);
                self.ambiguous_failure()
            }
        }
    }

    /// Records the limit that a target names, or that it names none.
    fn record_limit(&self, permit: &Permit, per_second: Option<f64>) {
        let endpoint = permit.endpoint();
        let limit = TargetLimit {
            id: endpoint.id.clone(),
            started_ms: endpoint.started_ms,
            per_second,
        };
        self.watcher.state().record_limit(limit, Instant::now());
    }

    /// Records that the target of the permit has completed the request.
    pub(crate) fn record_completion(&self, permit: &Permit) {
        self.crash_reports
            .record_completion(&self.features, permit.acquired_at());
    }

    /// Finds out whether a target crashed that ended its connection.
    pub(crate) async fn has_crashed(&self, permit: &Permit) -> bool {
        let crashed = self
            .crash_reports
            .has_crashed(&self.features, permit.endpoint());
        // The request is not held up beyond its deadline.
        timeout(self.time_left(), crashed).await.unwrap_or(false)
    }

    /// Whether a response that has ended with its connection may be incomplete, because
    /// its target has ended with it.
    pub(crate) async fn was_ended_by_exit(&self, info: &ResponseInfo, permit: &Permit) -> bool {
        if info.leaving {
            // The end of such a target is planned: the request is not blamed for it.
            let exited = has_exited(permit.endpoint().address);
            timeout(self.time_left(), exited).await.unwrap_or(false)
        } else {
            self.has_crashed(permit).await
        }
    }

    /// Reason for a missing response to a request that was sent.
    fn ambiguous_failure(&self) -> Reason {
        if self.time_left().is_zero() {
            Reason::TimedOut
        } else {
            Reason::Lost
        }
    }

    /// Reads a response to its end: only then is it known not to be truncated.
    pub(crate) async fn buffer_response(
        &mut self,
        head: Head,
        mut permit: Permit,
    ) -> Result<TargetResponse, Reason> {
        let is_server_error = head.status.is_server_error();
        let mut buf = BytesMut::new();
        let mut body = head.body;
        let error = loop {
            match timeout(self.time_left(), body.frame()).await {
                Ok(None) => {
                    let exited = head.framing == Framing::UntilClose
                        && self.was_ended_by_exit(&head.info, &permit).await;
                    break exited.then(|| "target exited".to_owned());
                }
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        buf.extend_from_slice(&data);
                    }
                    if buf.len() > MAX_BUFFERED_BYTES {
                        break Some(format!("response exceeds {MAX_BUFFERED_BYTES} bytes"));
                    }
                }
                Ok(Some(Err(e))) => {
                    self.has_crashed(&permit).await;
                    break Some(e.to_string());
                }
                Err(_) => break Some("deadline exceeded".to_owned()),
            }
        };
        permit.set_outcome(if is_server_error || error.is_some() {
            DispatchOutcome::Failed
        } else {
            DispatchOutcome::Answered
        });
        if let Some(why) = error {
            self.log_failed_attempt(&permit, "broken off", &why);
            return Err(self.ambiguous_failure());
        }
        match head.framing {
            Framing::Delimited => self.record_completion(&permit),
            Framing::UntilClose => self.log_ended_by_close(&permit),
        }
        crate::service_targets::return_connection(
            permit.endpoint(),
            head.conn,
            &head.info,
            &self.timing,
        );
        Ok(TargetResponse {
            status: head.status,
            headers: head.headers,
            body: admin::full(buf.freeze()),
            framing: head.framing,
        })
    }
}

/// Metric label and outcome of a response that reports that the request did not
/// run.
fn not_run(verdict: Verdict) -> Option<(&'static str, DispatchOutcome)> {
    match verdict {
        Verdict::NotRun => Some(("declined", DispatchOutcome::Declined)),
        Verdict::Replaced => Some(("replaced", DispatchOutcome::Replaced)),
        Verdict::Verified | Verdict::Unverified | Verdict::OtherRequest => None,
    }
}
