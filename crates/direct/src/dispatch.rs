//! The tries that one request is given.

use crate::answer::Answer;
use crate::dialect::{Dialect, Verdict};
use crate::director::Director;
use crate::exchange::{Attempt, AttemptError, Head, Reuse};
use crate::fleets::{Fleets, PlacementError};
use crate::metrics::Metrics;
use crate::permit::Permit;
use crate::proxy_request::ProxyRequest;
use crate::refusal::{Reason, Refusal};
use crate::stream;
use crate::timing::Timing;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use route::{Outcome, TargetKey};
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};
use table::{Kind, Route};
use tokio::time::{sleep, timeout};

/// Bytes of an answer at most that are held until it is whole. A longer one
/// is refused: it could neither be repeated nor told apart from half of one.
const MOST_HELD: usize = 8 << 20;
/// Tries that fail before anything is written, at most: they cost a target
/// nothing, but each may cost the caller a time-out.
const MOST_UNSENT: u32 = 3;

/// The tries that one request is given.
pub(crate) struct Dispatch {
    pub(crate) ask: ProxyRequest,
    pub(crate) account: Option<String>,
    pub(crate) service: String,
    pub(crate) kind: Kind,
    pub(crate) deadline: Instant,
    /// When it is no longer on time, and perhaps was not when it came.
    on_time_until: Option<Instant>,
    /// Targets that may still run it.
    pub(crate) attempts: u32,
    pub(crate) fleets: Arc<Fleets>,
    pub(crate) dialect: Dialect,
    pub(crate) timing: Arc<Timing>,
    pub(crate) metrics: Metrics,
    tried: Vec<TargetKey>,
    unsent: u32,
    /// The caller has the head of an answer.
    has_begun: bool,
    /// It has waited for a target.
    waits: bool,
    /// Why the last target did not answer it; the strongest doubt counts.
    doubt: Option<Reason>,
}

/// What came of one try.
enum AttemptOutcome {
    /// An answer to pass on, and the place that it still takes.
    Answered(Box<Head>, Permit),
    /// None; whether to go on is for the dispatch to say.
    Missed(Reason),
    /// The target's own failure, which may be passed on if nothing is left.
    Failed(Answer),
}

impl Dispatch {
    pub(crate) fn new(
        account: Option<String>,
        service: &str,
        route: &Route,
        deadline: Instant,
        director: &Director,
        ask: ProxyRequest,
    ) -> Dispatch {
        Dispatch {
            account,
            service: service.to_owned(),
            kind: route.kind,
            deadline,
            on_time_until: on_time_until(route, &ask, director.fleets()),
            attempts: route.attempts.max(1),
            fleets: Arc::clone(director.fleets()),
            dialect: director.dialect(),
            timing: Arc::clone(director.timing()),
            metrics: director.metrics().clone(),
            ask,
            tried: Vec::new(),
            unsent: 0,
            has_begun: false,
            waits: false,
            doubt: None,
        }
    }

    /// Runs the request to its answer.
    pub(crate) async fn run(mut self) -> Result<Answer, Refusal> {
        self.fleets.deposit(&self.service);
        let mut failed = None;
        loop {
            if self.left().is_zero() {
                return self.give_up(failed, Reason::Expired);
            }
            let after = self.ask.after;
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
            let mut news = self.fleets.news();
            let reason = match self.place() {
                Ok(permit) => return Ok(permit),
                Err(reason) => reason,
            };
            let now = Instant::now();
            let until = match reason {
                Reason::NoTarget => self.fleets.looks_again(&self.service, self.deadline, now),
                _ => None,
            };
            let Some((until, _waiter)) = until.zip(self.fleets.waiter()) else {
                return Err(reason);
            };
            if !self.waits {
                self.waits = true;
                log::info!(
                    request = self.ask.id.as_str(), service = self.service.as_str(),
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
            .fleets
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
    fn left_on_time(&self, now: Instant) -> Duration {
        if self.ask.after.is_some() || self.has_begun {
            return Duration::MAX;
        }
        let until = self.on_time_until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Sends it once and waits for the head of the answer.
    async fn attempt(&mut self, mut permit: Permit, after: Option<u64>) -> AttemptOutcome {
        let reuse = if self.kind.repeats() {
            Reuse::Kept
        } else {
            Reuse::Fresh
        };
        self.log_sent(&permit);
        let sent = self.answered(reuse, after, &permit).await;
        let head = match sent {
            Ok(head) => head,
            Err(miss) => {
                permit.set(Outcome::Failed);
                return AttemptOutcome::Missed(self.failed_attempt(&permit, &miss));
            }
        };
        if let Some(load) = head.reading.load {
            permit.told(load);
        }
        if let Some((what, outcome)) = declined(head.reading.word) {
            self.log_miss(&permit, what, head.status.as_str());
            permit.ended(outcome);
            return AttemptOutcome::Missed(Reason::Declined);
        }
        self.attempts -= 1;
        if head.status.is_server_error() && self.kind.repeats() && self.attempts > 0 {
            self.log_miss(&permit, "failed", head.status.as_str());
            return match self.whole(head, permit).await {
                Ok(answer) => AttemptOutcome::Failed(answer),
                Err(reason) => AttemptOutcome::Missed(reason),
            };
        }
        AttemptOutcome::Answered(Box::new(head), permit)
    }

    /// Sends it and waits for the answer, until it had better go elsewhere.
    ///
    /// To give up a silent target wins nothing where nobody else could take the
    /// request: it may have many before it, and answer yet.
    async fn answered(
        &self,
        reuse: Reuse,
        after: Option<u64>,
        permit: &Permit,
    ) -> Result<Head, AttemptError> {
        let sending = self.sending(reuse, after);
        let mut sent = pin!(sending.send(permit));
        let mut news = self.fleets.news();
        let mut silent = pin!(sleep(self.timing.silence));
        loop {
            tokio::select! {
                answered = &mut sent => return answered,
                () = &mut silent => {
                    if self.may_move() {
                        return Err(AttemptError::Lost("silent for too long".to_owned()));
                    }
                    silent.set(sleep(self.timing.silence));
                }
                // The sender lives as long as the fleets.
                _ = news.changed() => {
                    if permit.sheds(Instant::now()) && self.may_move() {
                        return Err(AttemptError::Lost("the target is slow".to_owned()));
                    }
                }
            }
        }
    }

    /// Whether another target would take it now.
    fn may_move(&self) -> bool {
        let now = Instant::now();
        let allowed = self.kind.repeats() && self.attempts > 1;
        let left = self.left_on_time(now);
        allowed
            && self
                .fleets
                .bears_retry(&self.service, left, &self.tried, now)
    }

    fn sending(&self, reuse: Reuse, after: Option<u64>) -> Attempt<'_> {
        Attempt {
            ask: &self.ask,
            account: self.account.as_deref(),
            deadline: self.deadline,
            after,
            reuse,
            dialect: &self.dialect,
            timing: &self.timing,
        }
    }

    /// A place where the stream that runs at the target of `permit` had better
    /// go on, if that one is too slow.
    pub(crate) fn place_to_move(&mut self, permit: &Permit) -> Option<Permit> {
        let now = Instant::now();
        let movable = self.kind.repeats() && self.attempts > 0 && permit.sheds(now);
        if !movable || !self.may_repeat(Reason::Lost) {
            return None;
        }
        let permit = self.fleets.place_to_move(&self.service, &self.tried, now)?;
        self.tried.push(permit.key());
        Some(permit)
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

    fn failed_attempt(&mut self, permit: &Permit, why: &AttemptError) -> Reason {
        match why {
            AttemptError::Unsent(text) => {
                self.log_miss(permit, "unsent", text);
                self.unsent += 1;
                Reason::NoTarget
            }
            AttemptError::Lost(text) => {
                self.log_miss(permit, "lost", text);
                self.attempts = self.attempts.saturating_sub(1);
                self.doubtful()
            }
        }
    }

    /// Why there is no answer to what was sent.
    fn doubtful(&self) -> Reason {
        if self.left().is_zero() {
            Reason::TimedOut
        } else {
            Reason::Lost
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
        let again = allowed && self.attempts > 0 && self.fleets.withdraw(&self.service, now);
        if again {
            self.metrics.retried(&self.service);
        }
        again
    }

    /// The final word where no target's answer can be had.
    fn give_up(&self, failed: Option<Answer>, reason: Reason) -> Result<Answer, Refusal> {
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
                let after = self.fleets.come_back(&self.service, most, Instant::now());
                Refusal::after(reason, spread(after))
            }
            Reason::NoTarget | Reason::NoTable => {
                Refusal::after(reason, spread(self.timing.retry_absent))
            }
            _ => Refusal::new(reason),
        };
        log::info!(
            request = self.ask.id.as_str(), service = self.service.as_str(),
            tried = self.tried.len(), left_ms:display = self.left().as_millis();
            "refused: {reason}"
        );
        Err(refusal)
    }

    /// Reads an answer to its end: only then is it known to be whole.
    async fn whole(&mut self, head: Head, mut permit: Permit) -> Result<Answer, Reason> {
        let failed = head.status.is_server_error();
        let mut buf = BytesMut::new();
        let mut body = head.body;
        let broken = loop {
            match timeout(self.left(), body.frame()).await {
                Ok(None) => break None,
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        buf.extend_from_slice(&data);
                    }
                    if buf.len() > MOST_HELD {
                        break Some("longer than can be held".to_owned());
                    }
                }
                Ok(Some(Err(e))) => break Some(e.to_string()),
                Err(_) => break Some("the time was over".to_owned()),
            }
        };
        permit.set(if failed || broken.is_some() {
            Outcome::Failed
        } else {
            Outcome::Answered
        });
        if let Some(why) = broken {
            self.log_miss(&permit, "broken off", &why);
            return Err(self.doubtful());
        }
        crate::fleets::keep(permit.endpoint(), head.conn, &head.reading, &self.timing);
        Ok(answer(head.status, head.headers, buf.freeze()))
    }

    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// When a request is no longer on time; none if it wasn't when it came.
fn on_time_until(route: &Route, ask: &ProxyRequest, fleets: &Fleets) -> Option<Instant> {
    let used = ask.patience.map_or(Duration::ZERO, |patience| {
        fleets.time_used(&route.name, patience, ask.arrived)
    });
    let left = route.objective.checked_sub(used)?;
    Some(ask.arrived + left)
}

/// How an answer that says that the request did not run is counted.
fn declined(word: Verdict) -> Option<(&'static str, Outcome)> {
    match word {
        Verdict::NotRun => Some(("declined", Outcome::Declined)),
        Verdict::Replaced => Some(("replaced", Outcome::Replaced)),
        Verdict::Vouched | Verdict::Unvouched | Verdict::Foreign => None,
    }
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

fn answer(status: StatusCode, headers: hyper::HeaderMap, body: Bytes) -> Answer {
    Answer {
        status,
        headers,
        body: admin::full(body),
    }
}
