//! One request to one target, up to the head of the response.

use crate::dialect::{Dialect, RequestMetadata, ResponseInfo, Verdict};
use crate::permit::Permit;
use crate::proxy_request::ProxyRequest;
use crate::timing::Timing;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{HeaderMap, Request, StatusCode};
use outlet::{ClientSettings, Connection, Failure, Framing, SendError};
use std::time::{Duration, Instant};

const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Whether a request may be sent on a connection that was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// It may: it can be sent again if the connection turns out to be dead.
    Allowed,
    /// It may not: if the connection failed, it would be unknown whether the request
    /// ran.
    Forbidden,
}

/// A request to be sent to one target.
#[derive(Clone, Copy)]
pub(crate) struct Attempt<'a> {
    pub(crate) req: &'a ProxyRequest,
    pub(crate) account: Option<&'a str>,
    pub(crate) deadline: Instant,
    pub(crate) last_event_id: Option<u64>,
    pub(crate) urgency: Option<u8>,
    pub(crate) reuse: ConnectionReuse,
    pub(crate) dialect: &'a Dialect,
    pub(crate) timing: &'a Timing,
}

/// The head of a response, and the connection that its body is read from.
pub(crate) struct Head {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) framing: Framing,
    pub(crate) info: ResponseInfo,
    pub(crate) conn: Connection,
}

impl Head {
    /// Whether the body is a stream of events. A target that does not name the type of its
    /// content answers a route for streams with one.
    pub(crate) fn has_events(&self) -> bool {
        let kind = self.headers.get(CONTENT_TYPE);
        kind.is_none_or(|kind| {
            let start = kind.as_bytes().get(..EVENT_STREAM.len());
            start.is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM))
        })
    }
}

/// Why an attempt got no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// Nothing was written, so the request did not run.
    Unsent(String),
    /// The connection broke after the request was written, and it is unknown whether it
    /// ran.
    Broken(String),
    /// The request was written, and it is unknown whether it ran.
    Lost(String),
}

impl Attempt<'_> {
    /// Sends the request to the target of the permit.
    pub(crate) async fn send(&self, permit: &Permit) -> Result<Head, AttemptError> {
        let cfg = self.client_settings();
        let mut req = self.build_request(permit)?;
        if self.reuse == ConnectionReuse::Allowed
            && let Some(mut conn) = take_idle_connection(permit, &cfg).await
        {
            match conn.try_send(req, cfg.head_timeout).await {
                Ok(response) => return self.check_head(response, conn),
                Err(SendError::Failed(failure)) => return Err(lost(&failure)),
                Err(SendError::Unwritten(unwritten)) => req = *unwritten,
            }
        }
        let opened = Connection::open(permit.endpoint().address, &cfg).await;
        let mut conn = opened.map_err(|failure| AttemptError::Unsent(failure.to_string()))?;
        match conn.try_send(req, cfg.head_timeout).await {
            Ok(response) => self.check_head(response, conn),
            Err(SendError::Failed(failure)) => Err(lost(&failure)),
            Err(SendError::Unwritten(_)) => Err(AttemptError::Unsent(
                "connection closed before the request was written".to_owned(),
            )),
        }
    }

    fn check_head(
        &self,
        response: hyper::Response<Incoming>,
        conn: Connection,
    ) -> Result<Head, AttemptError> {
        let (head, body) = response.into_parts();
        let info = (self.dialect.read_head)(&self.req.id, head.status, &head.headers);
        match info.verdict {
            Verdict::OtherRequest => {
                return Err(AttemptError::Lost(
                    "received the response to another request".to_owned(),
                ));
            }
            Verdict::Unverified if head.status.is_success() => {
                let why = "response lacks the mark of the target";
                return Err(AttemptError::Lost(why.to_owned()));
            }
            Verdict::Verified | Verdict::Unverified | Verdict::NotRun | Verdict::Replaced => {}
        }
        let framing = Framing::of_response(&self.req.method, head.status, &head.headers);
        Ok(Head {
            framing,
            status: head.status,
            headers: head.headers,
            body,
            info,
            conn,
        })
    }

    fn client_settings(&self) -> ClientSettings {
        let left = self.time_left();
        ClientSettings {
            connect_timeout: self.timing.connect.min(left),
            head_timeout: left,
            // Bytes that stay unacknowledged point to a dead connection, however long
            // the response may take.
            progress_timeout: match self.reuse {
                ConnectionReuse::Allowed => self.timing.inactivity,
                ConnectionReuse::Forbidden => left,
            },
            request_timeout: left,
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn build_request(&self, permit: &Permit) -> Result<Request<Full<Bytes>>, AttemptError> {
        let mut req = Request::builder()
            .method(self.req.method.clone())
            .uri(self.req.path.as_str())
            .body(Full::new(self.req.body.clone()))
            .map_err(|e| AttemptError::Unsent(e.to_string()))?;
        let mut headers = self.req.headers.clone();
        let metadata = RequestMetadata {
            target: &permit.endpoint().id,
            account: self.account,
            time_left: self.time_left(),
            last_event_id: self.last_event_id,
            urgency: self.urgency,
        };
        (self.dialect.write_headers)(&metadata, &mut headers);
        *req.headers_mut() = headers;
        Ok(req)
    }
}

/// Takes an idle connection on which the target has sent nothing since its last
/// response.
async fn take_idle_connection(permit: &Permit, cfg: &ClientSettings) -> Option<Connection> {
    while let Some(mut conn) = permit.endpoint().pool.take(Instant::now()) {
        if conn.is_ready(cfg).await && conn.is_idle() {
            permit.endpoint().pool.counts().reused.inc();
            return Some(conn);
        }
        permit.endpoint().pool.counts().dropped.inc();
    }
    None
}

fn lost(failure: &Failure) -> AttemptError {
    match failure {
        Failure::Broken(_) | Failure::EndedEarly(_) => AttemptError::Broken(failure.to_string()),
        Failure::NotRun(_) | Failure::Silent(_) => AttemptError::Lost(failure.to_string()),
    }
}
