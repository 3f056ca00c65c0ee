//! One request to one target, up to the head of its answer.

use crate::ask::Ask;
use crate::dialect::{Dialect, Reading, Told, Word};
use crate::permit::Permit;
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
pub(crate) struct Try<'a> {
    pub(crate) ask: &'a Ask,
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
    pub(crate) reading: Reading,
    pub(crate) conn: Connection,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Miss {
    /// Nothing was written: it did not run.
    Unsent(String),
    /// It was written, and nobody can say whether it ran.
    Lost(String),
}

impl Try<'_> {
    /// Sends the request to the target that the permit is for.
    pub(crate) async fn send(&self, permit: &Permit) -> Result<Head, Miss> {
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
        let opened = Connection::open(permit.way().address, &cfg).await;
        let mut conn = opened.map_err(|failure| Miss::Unsent(failure.to_string()))?;
        match conn.try_send(req, cfg.head).await {
            Ok(response) => self.read(response, conn),
            Err(Unanswered::Failed(failure)) => Err(lost(&failure)),
            Err(Unanswered::Unwritten(_)) => {
                Err(Miss::Unsent("closed before it was written".to_owned()))
            }
        }
    }

    fn read(&self, response: hyper::Response<Incoming>, conn: Connection) -> Result<Head, Miss> {
        let (head, body) = response.into_parts();
        let reading = (self.dialect.read)(&self.ask.id, head.status, &head.headers);
        match reading.word {
            Word::Foreign => {
                return Err(Miss::Lost("the answer to another request came".to_owned()));
            }
            Word::Unvouched if head.status.is_success() => {
                let why = "the target doesn't vouch for its answer";
                return Err(Miss::Lost(why.to_owned()));
            }
            Word::Vouched | Word::Unvouched | Word::NotRun | Word::Replaced => {}
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
                Reuse::Kept => self.timing.silence,
                Reuse::Fresh => left,
            },
            question: left,
        }
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn request(&self, permit: &Permit) -> Result<Request<Full<Bytes>>, Miss> {
        let mut req = Request::builder()
            .method(self.ask.method.clone())
            .uri(self.ask.path.as_str())
            .body(Full::new(self.ask.body.clone()))
            .map_err(|e| Miss::Unsent(e.to_string()))?;
        let mut headers = self.ask.headers.clone();
        let told = Told {
            target: &permit.way().id,
            account: self.account,
            left: self.left(),
            after: self.after,
        };
        (self.dialect.write)(&told, &mut headers);
        *req.headers_mut() = headers;
        Ok(req)
    }
}

/// A kept connection on which the target has said nothing since.
async fn kept(permit: &Permit, cfg: &ClientSettings) -> Option<Connection> {
    while let Some(mut conn) = permit.way().pool.take(Instant::now()) {
        if conn.is_ready(cfg).await && conn.is_quiet() {
            permit.way().pool.counts().reused.inc();
            return Some(conn);
        }
        permit.way().pool.counts().dropped.inc();
    }
    None
}

fn lost(failure: &Failure) -> Miss {
    Miss::Lost(failure.to_string())
}
