//! One request to one target, up to the head of its answer.

use crate::dialect::{Dialect, RequestMetadata, ResponseInfo, Verdict};
use crate::permit::Permit;
use crate::proxy_request::ProxyRequest;
use crate::timing::Timing;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, StatusCode};
use outlet::{ClientSettings, Connection, Failure, Unanswered};
use std::time::{Duration, Instant};

/// Whether a request may go out on a connection that had others before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// It may: it runs again if the connection turns out to be dead.
    Kept,
    /// It may not: nobody could say whether it ran.
    Fresh,
}

/// What one try to send a request is about.
#[derive(Clone, Copy)]
pub(crate) struct Attempt<'a> {
    pub(crate) req: &'a ProxyRequest,
    pub(crate) account: Option<&'a str>,
    pub(crate) deadline: Instant,
    pub(crate) after: Option<u64>,
    pub(crate) reuse: Reuse,
    pub(crate) dialect: &'a Dialect,
    pub(crate) timing: &'a Timing,
}

/// The head of an answer, and the connection that its body comes on.
pub(crate) struct Head {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) reading: ResponseInfo,
    pub(crate) conn: Connection,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// Nothing was written: it did not run.
    Unsent(String),
    /// It was written, and nobody can say whether it ran.
    Lost(String),
}

impl Attempt<'_> {
    /// Sends the request to the target that the permit is for.
    pub(crate) async fn send(&self, permit: &Permit) -> Result<Head, AttemptError> {
        let cfg = self.client_settings();
        let mut req = self.request(permit)?;
        if self.reuse == Reuse::Kept
            && let Some(mut conn) = kept(permit, &cfg).await
        {
            match conn.try_send(req, cfg.head).await {
                Ok(response) => return self.read(response, conn),
                Err(Unanswered::Failed(failure)) => return Err(lost(&failure)),
                Err(Unanswered::Unwritten(unwritten)) => req = *unwritten,
            }
        }
        let opened = Connection::open(permit.endpoint().address, &cfg).await;
        let mut conn = opened.map_err(|failure| AttemptError::Unsent(failure.to_string()))?;
        match conn.try_send(req, cfg.head).await {
            Ok(response) => self.read(response, conn),
            Err(Unanswered::Failed(failure)) => Err(lost(&failure)),
            Err(Unanswered::Unwritten(_)) => Err(AttemptError::Unsent(
                "closed before it was written".to_owned(),
            )),
        }
    }

    fn read(
        &self,
        response: hyper::Response<Incoming>,
        conn: Connection,
    ) -> Result<Head, AttemptError> {
        let (head, body) = response.into_parts();
        let reading = (self.dialect.read_head)(&self.req.id, head.status, &head.headers);
        match reading.verdict {
            Verdict::OtherRequest => {
                return Err(AttemptError::Lost(
                    "the answer to another request came".to_owned(),
                ));
            }
            Verdict::Unverified if head.status.is_success() => {
                let why = "the target doesn't vouch for its answer";
                return Err(AttemptError::Lost(why.to_owned()));
            }
            Verdict::Verified | Verdict::Unverified | Verdict::NotRun | Verdict::Replaced => {}
        }
        Ok(Head {
            status: head.status,
            headers: head.headers,
            body,
            reading,
            conn,
        })
    }

    fn client_settings(&self) -> ClientSettings {
        let left = self.left();
        ClientSettings {
            connect: self.timing.connect.min(left),
            head: left,
            // Bytes that nobody acknowledges are a matter of the connection,
            // however long the answer may take.
            progress: match self.reuse {
                Reuse::Kept => self.timing.inactivity,
                Reuse::Fresh => left,
            },
            question: left,
        }
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn request(&self, permit: &Permit) -> Result<Request<Full<Bytes>>, AttemptError> {
        let mut req = Request::builder()
            .method(self.req.method.clone())
            .uri(self.req.path.as_str())
            .body(Full::new(self.req.body.clone()))
            .map_err(|e| AttemptError::Unsent(e.to_string()))?;
        let mut headers = self.req.headers.clone();
        let told = RequestMetadata {
            target: &permit.endpoint().id,
            account: self.account,
            time_left: self.left(),
            last_event_id: self.after,
        };
        (self.dialect.write_headers)(&told, &mut headers);
        *req.headers_mut() = headers;
        Ok(req)
    }
}

/// A kept connection on which the target has said nothing since.
async fn kept(permit: &Permit, cfg: &ClientSettings) -> Option<Connection> {
    while let Some(mut conn) = permit.endpoint().pool.take(Instant::now()) {
        if conn.is_ready(cfg).await && conn.is_quiet() {
            permit.endpoint().pool.counts().reused.inc();
            return Some(conn);
        }
        permit.endpoint().pool.counts().dropped.inc();
    }
    None
}

fn lost(failure: &Failure) -> AttemptError {
    AttemptError::Lost(failure.to_string())
}
