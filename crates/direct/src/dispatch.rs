//! Sends one request to targets in turn until it is answered or refused.

use crate::balancer::{AcquireError, Balancer};
use crate::crash_reports::CrashReports;
use crate::dialect::Dialect;
use crate::dispatch_attempts::AttemptOutcome;
use crate::exchange::Head;
use crate::metrics::Metrics;
use crate::permit::Permit;
use crate::proxy::Proxy;
use crate::proxy_request::ProxyRequest;
use crate::refusal::{Reason, Refusal};
use crate::stream;
use crate::target_response::TargetResponse;
use crate::timing::Timing;
use node::Watcher;
use route::{Features, Priority, TargetKey};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use table::{ClientAccount, RequestKind, Route};
use tokio::time::timeout;

/// Maximum number of attempts that fail before any byte is written. They cost
/// targets nothing, but each may cost the caller a connect timeout.
const MAX_UNSENT_ATTEMPTS: u32 = 3;

/// What the route table says of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestClass<'a> {
    /// The client account of the caller, if it has one.
    pub(crate) account: Option<&'a ClientAccount>,
    pub(crate) service: &'a str,
    pub(crate) route: &'a Route,
    /// How urgent the request is, if requests of the service differ in that.
    pub(crate) urgency: Option<u8>,
}

/// A request that is being sent to targets.
pub(crate) struct Dispatch {
    pub(crate) req: ProxyRequest,
    pub(crate) account: Option<String>,
    pub(crate) priority: Priority,
    pub(crate) urgency: Option<u8>,
    /// What the request may share with others that crash targets.
    pub(crate) features: Features,
    pub(crate) service: String,
    pub(crate) kind: RequestKind,
    pub(crate) deadline: Instant,
    /// When the response must start to meet the route's latency objective; none if
    /// the objective was already missed on arrival.
    pub(crate) objective_deadline: Option<Instant>,
    /// Since when the caller has received nothing; none while it receives events.
    pub(crate) quiet_since: Option<Instant>,
    /// Number of targets that may still be given the request.
    pub(crate) attempts_left: u32,
    pub(crate) balancer: Arc<Balancer>,
    pub(crate) crash_reports: CrashReports,
    pub(crate) watcher: Watcher,
    pub(crate) dialect: Dialect,
    pub(crate) timing: Arc<Timing>,
    pub(crate) metrics: Metrics,
    pub(crate) tried: Vec<TargetKey>,
    /// Attempts that failed before any byte was written.
    pub(crate) unsent_attempts: u32,
    /// Whether the caller has received the head of a response.
    pub(crate) response_started: bool,
    /// Predicted wait according to the queue that refused the request, if one did.
    pub(crate) predicted_wait: Duration,
    /// Whether the request has waited for a target.
    has_waited: bool,
    /// Reason of the last failed attempt after which the request may have run.
    ambiguous_reason: Option<Reason>,
    /// Whether the request may have run by now.
    may_have_run: Arc<AtomicBool>,
}

impl Dispatch {
    pub(crate) fn new(
        class: &RequestClass<'_>,
        deadline: Instant,
        proxy: &Proxy,
        req: ProxyRequest,
        may_have_run: Arc<AtomicBool>,
    ) -> Dispatch {
        let RequestClass {
            account,
            service,
            route,
            urgency,
        } = *class;
        Dispatch {
            features: req.features(account.map(|account| account.name.as_str())),
            account: account.map(|account| account.name.clone()),
            priority: Priority {
                account: account.and_then(|a| a.priority).unwrap_or(route.priority),
                route: route.priority,
            },
            urgency,
            service: service.to_owned(),
            kind: route.kind,
            deadline,
            objective_deadline: objective_deadline(route, &req, proxy.balancer()),
            quiet_since: Some(req.arrived),
            attempts_left: route.attempts.max(1),
            balancer: Arc::clone(proxy.balancer()),
            crash_reports: proxy.crash_reports().clone(),
            watcher: proxy.watcher().clone(),
            dialect: proxy.dialect(),
            timing: Arc::clone(proxy.timing()),
            metrics: proxy.metrics().clone(),
            req,
            tried: Vec::new(),
            unsent_attempts: 0,
            response_started: false,
            predicted_wait: Duration::ZERO,
            has_waited: false,
            ambiguous_reason: None,
            may_have_run,
        }
    }

    /// Sends the request until it is answered or refused.
    pub(crate) async fn run(mut self) -> Result<TargetResponse, Refusal> {
        self.balancer.deposit_retry(&self.service);
        self.crash_reports.record_arrival(&self.features);
        let mut failed = None;
        loop {
            let may_have_run = self.ambiguous_reason.is_some();
            self.may_have_run.store(may_have_run, Ordering::Relaxed);
            if self.time_left().is_zero() {
                return self.give_up(failed, Reason::Expired);
            }
            let last_event_id = self.req.last_event_id;
            let permit = match self.acquire_or_wait().await {
                Ok(permit) => permit,
                Err(reason) => return self.give_up(failed, reason),
            };
            self.may_have_run.store(true, Ordering::Relaxed);
            match self.attempt(permit, last_event_id).await {
                AttemptOutcome::Answered(head, permit) => {
                    if head.status.is_success() && self.is_stream() && head.has_events() {
                        self.response_started = true;
                        self.quiet_since = None;
                        return Ok(stream::relay(self, *head, permit));
                    }
                    match self.buffer_response(*head, permit).await {
                        Ok(response) => return Ok(response),
                        Err(reason) if self.try_retry(reason) => {}
                        Err(reason) => return self.give_up(failed, reason),
                    }
                }
                AttemptOutcome::Failed(response) => {
                    failed = Some(response);
                    if !self.try_retry(Reason::Lost) {
                        return self.give_up(failed, Reason::Lost);
                    }
                }
                AttemptOutcome::NoResponse(reason) => {
                    if !self.try_retry(reason) {
                        return self.give_up(failed, reason);
                    }
                }
            }
        }
    }

    fn is_stream(&self) -> bool {
        matches!(self.kind, RequestKind::Stream { .. })
    }

    /// Acquires a slot of a target; waits while the service has no available one, and for
    /// a free one if its requests have different priorities.
    pub(crate) async fn acquire_or_wait(&mut self) -> Result<Permit, Reason> {
        if let Some(acquired) = self.acquire_by_priority().await {
            return acquired;
        }
        loop {
            let mut changes = self.balancer.changes();
            let reason = match self.acquire() {
                Ok(permit) => return Ok(permit),
                Err(reason) => reason,
            };
            let now = Instant::now();
            let until = match reason {
                Reason::NoTarget => self.balancer.wait_until(&self.service, self.deadline, now),
                _ => None,
            };
            let Some((until, _slot)) = until.zip(self.balancer.waiting_slot()) else {
                return Err(reason);
            };
            if !self.has_waited {
                self.has_waited = true;
                log::info!(
                    request = self.req.id.as_str(), service = self.service.as_str(),
                    left_ms:display = self.time_left().as_millis();
                    "waiting for a target"
                );
            }
            // A change and a time-out both lead to another try.
            let _ = timeout(until - now, changes.changed()).await;
            self.metrics.waited(&self.service, now.elapsed());
            // Targets that declined before may accept by now.
            self.tried.clear();
        }
    }

    /// Acquires a slot of a target that was not tried yet.
    pub(crate) fn acquire(&mut self) -> Result<Permit, Reason> {
        if self.crash_reports.must_refuse(&self.features) {
            return Err(Reason::Quarantined);
        }
        let now = Instant::now();
        let acquired =
            self.balancer
                .acquire(&self.service, self.time_to_objective(now), &self.tried, now);
        let permit = acquired.map_err(|e| match e {
            AcquireError::NoTarget => Reason::NoTarget,
            AcquireError::Full => Reason::Full,
        })?;
        self.tried.push(permit.key());
        Ok(permit)
    }

    /// Time left until the response must start to meet the latency objective. A
    /// stream of which the caller already has events has no such limit.
    pub(crate) fn time_to_objective(&self, now: Instant) -> Duration {
        if self.req.last_event_id.is_some() || self.response_started {
            return Duration::MAX;
        }
        let until = self.objective_deadline;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Acquires a slot of another target for the stream that holds `permit`, if its
    /// own target is too slow.
    pub(crate) fn acquire_for_move(&mut self, permit: &Permit) -> Option<Permit> {
        let now = Instant::now();
        let movable = !self.crash_reports.must_refuse(&self.features)
            && self.kind.may_repeat()
            && self.attempts_left > 0
            && permit.should_move(now);
        if !movable {
            return None;
        }
        let new_permit = self
            .balancer
            .acquire_for_move(&self.service, &self.tried, now)?;
        if !self.try_retry(Reason::Lost) {
            return None;
        }
        self.tried.push(new_permit.key());
        Some(new_permit)
    }

    /// Resumes a stream at another target, after the last event received.
    pub(crate) async fn resume_elsewhere(
        &mut self,
        last_event_id: Option<u64>,
    ) -> Option<(Head, Permit)> {
        loop {
            if self.time_left().is_zero() || !self.try_retry(Reason::Lost) {
                return None;
            }
            let permit = self.acquire().ok()?;
            if let Some(resumed) = self.resume_at(permit, last_event_id).await {
                return Some(resumed);
            }
        }
    }

    /// Resumes a stream at one target.
    pub(crate) async fn resume_at(
        &mut self,
        permit: Permit,
        last_event_id: Option<u64>,
    ) -> Option<(Head, Permit)> {
        match self.attempt(permit, last_event_id).await {
            AttemptOutcome::Answered(head, permit) if head.status.is_success() => {
                Some((*head, permit))
            }
            AttemptOutcome::Answered(..)
            | AttemptOutcome::Failed(_)
            | AttemptOutcome::NoResponse(_) => None,
        }
    }

    /// Whether the request may be sent to another target after a failed attempt.
    /// Takes a retry from the budget if so, unless nothing was written.
    pub(crate) fn try_retry(&mut self, reason: Reason) -> bool {
        if !reason.not_run() {
            self.ambiguous_reason = Some(reason);
        }
        let now = Instant::now();
        if reason == Reason::NoTarget {
            // In an outage few requests are sent, and they cost their callers no more than
            // waiting for its end.
            return self.unsent_attempts < MAX_UNSENT_ATTEMPTS
                || self.balancer.is_out(&self.service, now);
        }
        let retry =
            self.is_repeatable_after(reason) && self.balancer.withdraw_retry(&self.service, now);
        if retry {
            self.metrics.retried(&self.service);
        }
        retry
    }

    /// Whether the request may be sent to another target after a failed attempt, as far as
    /// the retry budget allows.
    pub(crate) fn is_repeatable_after(&self, reason: Reason) -> bool {
        let may_repeat = self.kind.may_repeat() && !self.crash_reports.is_suspect(&self.features);
        (reason.not_run() || may_repeat) && self.attempts_left > 0
    }

    /// Ends the request: with the last failed response of a target if there is one,
    /// otherwise with a refusal.
    fn give_up(
        &self,
        failed: Option<TargetResponse>,
        reason: Reason,
    ) -> Result<TargetResponse, Refusal> {
        if let Some(response) = failed {
            return Ok(response);
        }
        // Once the request may have run, a later attempt that certainly did not run
        // must not hide that.
        let reason = match self.ambiguous_reason {
            Some(ambiguous) if reason.not_run() => ambiguous,
            _ => reason,
        };
        let max_delay = self.time_left().mul_f64(RETRY_AFTER_SHARE);
        let refusal = match reason {
            Reason::Full | Reason::Declined | Reason::NoTarget
                if let Some(after) = self.retry_after_outage(max_delay) =>
            {
                Refusal::with_retry_after(reason, after)
            }
            Reason::Full | Reason::Declined => {
                let after = self.balancer.retry_after_refusal(
                    &self.service,
                    self.predicted_wait,
                    max_delay,
                    Instant::now(),
                );
                Refusal::with_retry_after(reason, after)
            }
            Reason::NoTarget | Reason::NoTable => {
                Refusal::with_retry_after(reason, self.balancer.retry_after_absence())
            }
            _ => Refusal::new(reason),
        };
        log::info!(
            request = self.req.id.as_str(), service = self.service.as_str(),
            tried = self.tried.len(), left_ms:display = self.time_left().as_millis(),
            retry_after_ms:display = refusal.retry_after.unwrap_or_default().as_millis();
            "refused: {reason}"
        );
        Err(refusal)
    }

    /// Delay until the caller should retry, if the service has an outage.
    fn retry_after_outage(&self, max_delay: Duration) -> Option<Duration> {
        let now = Instant::now();
        self.balancer
            .retry_after_outage(&self.service, self.priority, max_delay, now)
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// When the response must start to meet the latency objective of the route; none
/// if the caller's earlier attempts have used it up.
fn objective_deadline(route: &Route, req: &ProxyRequest, balancer: &Balancer) -> Option<Instant> {
    let used = req.timeout.map_or(Duration::ZERO, |timeout| {
        balancer.time_used(&route.name, timeout, req.arrived)
    });
    let left = route.objective.checked_sub(used)?;
    Some(req.arrived + left)
}

/// Share of the remaining time after which a caller should retry at the latest:
/// the rest is left for the response.
const RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;
