//! The attempts of a request at single targets.

use crate::dialect::Verdict;
use crate::dispatch::Dispatch;
use crate::exchange::{Attempt, AttemptError, Head, Reuse};
use crate::permit::Permit;
use crate::refusal::Reason;
use crate::target_response::TargetResponse;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use route::Outcome;
use std::pin::pin;
use std::time::Instant;
use tokio::time::{sleep, timeout};

/// Bytes of an answer at most that are held until it is whole. A longer one
/// is refused: it could neither be repeated nor told apart from half of one.
const MOST_HELD: usize = 8 << 20;
/// What came of one try.
pub(crate) enum AttemptOutcome {
    /// An answer to pass on, and the place that it still takes.
    Answered(Box<Head>, Permit),
    /// None; the caller says whether to go on.
    Missed(Reason),
    /// The target's own failure, which may be passed on if nothing is left.
    Failed(TargetResponse),
}

impl Dispatch {
    /// Sends it once and waits for the head of the answer.
    pub(crate) async fn attempt(
        &mut self,
        mut permit: Permit,
        after: Option<u64>,
    ) -> AttemptOutcome {
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
        if let Some((what, outcome)) = declined(head.reading.verdict) {
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
        let mut news = self.placer.news();
        let mut silent = pin!(sleep(self.timing.inactivity));
        loop {
            tokio::select! {
                answered = &mut sent => return answered,
                () = &mut silent => {
                    if self.may_move() {
                        return Err(AttemptError::Lost("silent for too long".to_owned()));
                    }
                    silent.set(sleep(self.timing.inactivity));
                }
                // The placer sends until it is dropped.
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
                .placer
                .bears_retry(&self.service, left, &self.tried, now)
    }

    fn sending(&self, reuse: Reuse, after: Option<u64>) -> Attempt<'_> {
        Attempt {
            req: &self.req,
            account: self.account.as_deref(),
            deadline: self.deadline,
            after,
            reuse,
            dialect: &self.dialect,
            timing: &self.timing,
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

    /// Reads an answer to its end: only then is it known to be whole.
    pub(crate) async fn whole(
        &mut self,
        head: Head,
        mut permit: Permit,
    ) -> Result<TargetResponse, Reason> {
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
        crate::service_targets::keep(permit.endpoint(), head.conn, &head.reading, &self.timing);
        Ok(answer(head.status, head.headers, buf.freeze()))
    }
}

/// How an answer that says that the request did not run is counted.
fn declined(word: Verdict) -> Option<(&'static str, Outcome)> {
    match word {
        Verdict::NotRun => Some(("declined", Outcome::Declined)),
        Verdict::Replaced => Some(("replaced", Outcome::Replaced)),
        Verdict::Verified | Verdict::Unverified | Verdict::OtherRequest => None,
    }
}

fn answer(status: StatusCode, headers: hyper::HeaderMap, body: Bytes) -> TargetResponse {
    TargetResponse {
        status,
        headers,
        body: admin::full(body),
    }
}
