//! Where one request is sent, in turn, until it is answered or refused.

use crate::dialect::Dialect;
use crate::dispatch_attempts::AttemptOutcome;
use crate::exchange::Head;
use crate::metrics::Metrics;
use crate::permit::Permit;
use crate::placer::{PlacementError, Placer};
use crate::proxy::Proxy;
use crate::proxy_request::ProxyRequest;
use crate::refusal::{Reason, Refusal};
use crate::stream;
use crate::target_response::TargetResponse;
use crate::timing::Timing;
use route::TargetKey;
use std::sync::Arc;
use std::time::{Duration, Instant};
use table::{Kind, Route};
use tokio::time::timeout;

/// Attempts that fail before anything is written, at most: they cost a target
/// nothing, but each may cost the caller a time-out.
const MOST_UNSENT: u32 = 3;

/// One request on its way to an answer or a refusal.
pub(crate) struct Dispatch {
    pub(crate) req: ProxyRequest,
    pub(crate) account: Option<String>,
    pub(crate) service: String,
    pub(crate) kind: Kind,
    pub(crate) deadline: Instant,
    /// Until when its first answer is on time; none if it came too late for that.
    on_time_until: Option<Instant>,
    /// Targets that may still run it.
    pub(crate) attempts: u32,
    pub(crate) placer: Arc<Placer>,
    pub(crate) dialect: Dialect,
    pub(crate) timing: Arc<Timing>,
    pub(crate) metrics: Metrics,
    pub(crate) tried: Vec<TargetKey>,
    pub(crate) unsent: u32,
    /// The caller has the head of an answer.
    has_begun: bool,
    /// It has waited for a target.
    waits: bool,
    /// Why the last target did not answer it; the strongest doubt counts.
    doubt: Option<Reason>,
}

impl Dispatch {
    pub(crate) fn new(
        account: Option<String>,
        service: &str,
        route: &Route,
        deadline: Instant,
        proxy: &Proxy,
        req: ProxyRequest,
    ) -> Dispatch {
        Dispatch {
            account,
            service: service.to_owned(),
            kind: route.kind,
            deadline,
            on_time_until: on_time_until(route, &req, proxy.placer()),
            attempts: route.attempts.max(1),
            placer: Arc::clone(proxy.placer()),
            dialect: proxy.dialect(),
            timing: Arc::clone(proxy.timing()),
            metrics: proxy.metrics().clone(),
            req,
            tried: Vec::new(),
            unsent: 0,
            has_begun: false,
            waits: false,
            doubt: None,
        }
    }

    /// Runs the request to its answer.
    pub(crate) async fn run(mut self) -> Result<TargetResponse, Refusal> {
        self.placer.deposit(&self.service);
        let mut failed = None;
        loop {
            if self.left().is_zero() {
                return self.give_up(failed, Reason::Expired);
            }
            let after = self.req.last_event_id;
            let permit = match self.placed().await {
                Ok(permit) => permit,
                Err(reason) => return self.give_up(failed, reason),
            };
            match self.attempt(permit, after).await {
                AttemptOutcome::Answered(head, permit) => {
                    if head.status.is_success() && self.is_stream() {
                        self.has_begun = true;
                        return Ok(stream::relay(self, *head, permit));
                    }
                    match self.whole(*head, permit).await {
                        Ok(answer) => return Ok(answer),
                        Err(reason) if self.may_repeat(reason) => {}
                        Err(reason) => return self.give_up(failed, reason),
                    }
                }
                AttemptOutcome::Failed(answer) => {
                    failed = Some(answer);
                    if !self.may_repeat(Reason::Lost) {
                        return self.give_up(failed, Reason::Lost);
                    }
                }
                AttemptOutcome::Missed(reason) => {
                    if !self.may_repeat(reason) {
                        return self.give_up(failed, reason);
                    }
                }
            }
        }
    }

    fn is_stream(&self) -> bool {
        matches!(self.kind, Kind::Stream { .. })
    }

    /// Takes a place, and waits for a target to come while the service has none.
    async fn placed(&mut self) -> Result<Permit, Reason> {
        loop {
            let mut news = self.placer.news();
            let reason = match self.place() {
                Ok(permit) => return Ok(permit),
                Err(reason) => reason,
            };
            let now = Instant::now();
            let until = match reason {
                Reason::NoTarget => self.placer.looks_again(&self.service, self.deadline, now),
                _ => None,
            };
            let Some((until, _waiter)) = until.zip(self.placer.waiter()) else {
                return Err(reason);
            };
            if !self.waits {
                self.waits = true;
                log::info!(
                    request = self.req.id.as_str(), service = self.service.as_str(),
                    left_ms:display = self.left().as_millis();
                    "waits for a target"
                );
            }
            // Either outcome means that it is time to look again.
            let _ = timeout(until - now, news.changed()).await;
            self.metrics.waited(&self.service, now.elapsed());
            // Those that declined before may be able by now.
            self.tried.clear();
        }
    }

    /// Takes a place at a target that wasn't tried yet.
    pub(crate) fn place(&mut self) -> Result<Permit, Reason> {
        let now = Instant::now();
        let placed = self
            .placer
            .place(&self.service, self.left_on_time(now), &self.tried, now);
        let permit = placed.map_err(|none| match none {
            PlacementError::Absent => Reason::NoTarget,
            PlacementError::Full => Reason::Full,
        })?;
        self.tried.push(permit.key());
        Ok(permit)
    }

    /// Time in which it must begin to be answered to be on time. A stream of
    /// which the caller has events already is not late by its first one.
    pub(crate) fn left_on_time(&self, now: Instant) -> Duration {
        if self.req.last_event_id.is_some() || self.has_begun {
            return Duration::MAX;
        }
        let until = self.on_time_until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// A place where the stream that runs at the target of `permit` had better
    /// go on, if that one is too slow.
    pub(crate) fn place_to_move(&mut self, permit: &Permit) -> Option<Permit> {
        let now = Instant::now();
        let movable = self.kind.repeats() && self.attempts > 0 && permit.sheds(now);
        if !movable {
            return None;
        }
        let place = self.placer.place_to_move(&self.service, &self.tried, now)?;
        if !self.may_repeat(Reason::Lost) {
            return None;
        }
        self.tried.push(place.key());
        Some(place)
    }

    /// Sends a stream again, to go on after the last event that is here.
    pub(crate) async fn go_on(&mut self, after: Option<u64>) -> Option<(Head, Permit)> {
        loop {
            if self.left().is_zero() || !self.may_repeat(Reason::Lost) {
                return None;
            }
            let permit = self.place().ok()?;
            if let Some(resumed) = self.resume(permit, after).await {
                return Some(resumed);
            }
        }
    }

    /// Sends a stream again to one target.
    pub(crate) async fn resume(
        &mut self,
        permit: Permit,
        after: Option<u64>,
    ) -> Option<(Head, Permit)> {
        match self.attempt(permit, after).await {
            AttemptOutcome::Answered(head, permit) if head.status.is_success() => {
                Some((*head, permit))
            }
            AttemptOutcome::Answered(..)
            | AttemptOutcome::Failed(_)
            | AttemptOutcome::Missed(_) => None,
        }
    }

    /// Whether it may be sent to another target after this.
    pub(crate) fn may_repeat(&mut self, reason: Reason) -> bool {
        if !reason.not_run() {
            self.doubt = Some(reason);
        }
        if reason == Reason::NoTarget {
            return self.unsent < MOST_UNSENT;
        }
        let allowed = reason.not_run() || self.kind.repeats();
        let now = Instant::now();
        let again = allowed && self.attempts > 0 && self.placer.withdraw(&self.service, now);
        if again {
            self.metrics.retried(&self.service);
        }
        again
    }

    /// The final word where no target's answer can be had.
    fn give_up(
        &self,
        failed: Option<TargetResponse>,
        reason: Reason,
    ) -> Result<TargetResponse, Refusal> {
        if let Some(answer) = failed {
            return Ok(answer);
        }
        // Once it may have run, nothing that came later makes it surely not.
        let reason = match self.doubt {
            Some(doubt) if reason.not_run() => doubt,
            _ => reason,
        };
        let refusal = match reason {
            Reason::Full | Reason::Declined => {
                let most = self.left().mul_f64(RETURN_WITHIN / SPREAD.end);
                let after = self.placer.come_back(&self.service, most, Instant::now());
                Refusal::after(reason, spread(after))
            }
            Reason::NoTarget | Reason::NoTable => {
                Refusal::after(reason, spread(self.timing.retry_after_absent))
            }
            _ => Refusal::new(reason),
        };
        log::info!(
            request = self.req.id.as_str(), service = self.service.as_str(),
            tried = self.tried.len(), left_ms:display = self.left().as_millis(),
            retry_after_ms:display = refusal.retry_after.unwrap_or_default().as_millis();
            "refused: {reason}"
        );
        Err(refusal)
    }

    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Until when a request's first answer is on time; none if it came too late.
fn on_time_until(route: &Route, req: &ProxyRequest, placer: &Placer) -> Option<Instant> {
    let used = req.timeout.map_or(Duration::ZERO, |patience| {
        placer.time_used(&route.name, patience, req.arrived)
    });
    let left = route.objective.checked_sub(used)?;
    Some(req.arrived + left)
}

/// Part of its time left after which a caller comes back at the latest: the rest
/// is for its answer.
const RETURN_WITHIN: f64 = 1.0 / 3.0;
/// Part of a time by which callers are spread who are all told to come back.
const SPREAD: std::ops::Range<f64> = 0.75..1.5;

/// Callers who were refused together would come back together.
fn spread(time: Duration) -> Duration {
    time.mul_f64(rand::random_range(SPREAD))
}
