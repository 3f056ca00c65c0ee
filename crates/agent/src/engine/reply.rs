//! The streamed response to a call.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Method, Response, StatusCode};
use serde::Deserialize;
use tokio::time::timeout;

use ::outlet::{Completeness, Connection, Framing, Pool, rest_asked};
use admin::HOP_BY_HOP_HEADERS;

use super::{ClientSettings, CompletionCheck, Failure};

const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Token counts of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that were found in the cache.
    pub cached_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
}

/// A target's response: the head has arrived, the body is streamed.
pub struct Reply {
    status: StatusCode,
    headers: Vec<(String, Bytes)>,
    rest: Option<Duration>,
    body: Incoming,
    completion: CompletionCheck,
    cfg: ClientSettings,
    /// Taken when the body is complete; otherwise the connection is closed when
    /// the reply is dropped.
    conn: Option<Connection>,
    pool: Arc<Pool>,
}

impl Reply {
    pub(crate) fn new(
        response: Response<Incoming>,
        conn: Connection,
        cfg: &ClientSettings,
        method: &Method,
        pool: Arc<Pool>,
    ) -> Self {
        let (head, body) = response.into_parts();
        Reply {
            completion: completion_check(head.status, &head.headers, method),
            status: head.status,
            rest: rest_asked(head.status, &head.headers),
            headers: end_to_end_headers(&head.headers),
            body,
            cfg: cfg.clone(),
            conn: Some(conn),
            pool,
        }
    }

    /// HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.status.as_u16()
    }

    /// Headers without the hop-by-hop ones.
    #[must_use]
    pub fn headers(&self) -> Vec<(String, Bytes)> {
        self.headers.clone()
    }

    /// How long the target wants no more requests, if it turned this one away.
    #[must_use]
    pub fn rest(&self) -> Option<Duration> {
        self.rest
    }

    /// Whether the body is complete, once [`Reply::next`] has returned its end.
    #[must_use]
    pub fn completeness(&self) -> Completeness {
        self.completion.completeness()
    }

    /// The next bytes of the body; `None` once it has ended. Nothing may show whether it
    /// is complete then.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks, when no byte arrives within the
    /// progress timeout, and when the body is broken off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let Ok(frame) = timeout(self.cfg.progress_timeout, self.body.frame()).await else {
                return Err(Failure::Silent("no byte came in time".into()));
            };
            let Some(frame) = frame else {
                return self.end().map(|()| None);
            };
            let frame = frame.map_err(|e| Failure::Broken(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.completion.push(&data);
                return Ok(Some(data));
            }
        }
    }

    /// Token counts, if the end of the body has them.
    #[must_use]
    pub fn usage(&self) -> Option<Usage> {
        parse_usage(self.completion.tail())
    }

    fn end(&mut self) -> Result<(), Failure> {
        let completeness = self.completeness();
        if completeness == Completeness::Truncated {
            return Err(Failure::EndedEarly("the last event is missing".into()));
        }
        if completeness == Completeness::Complete
            && let Some(mut conn) = self.conn.take()
            && conn.prepare_for_reuse(&self.cfg).is_ok()
        {
            self.pool.put(conn, Instant::now());
        }
        Ok(())
    }
}

/// Copies the values, because the originals would keep the connection's whole
/// first read buffer in memory until the response is done.
fn end_to_end_headers(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let kept = headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()));
    kept.map(|(name, value)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        (name.as_str().to_owned(), value)
    })
    .collect()
}

fn completion_check(status: StatusCode, headers: &HeaderMap, method: &Method) -> CompletionCheck {
    let kind = headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    let events = kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM));
    if events && status.is_success() {
        return CompletionCheck::events();
    }
    match Framing::of_response(method, status, headers) {
        Framing::Delimited => CompletionCheck::framed(),
        Framing::UntilClose => CompletionCheck::unframed(),
    }
}

/// Parses the token counts, which stand near the end of the body: in the last
/// events of a stream or at the end of a document. The tail may begin anywhere
/// before them.
fn parse_usage(tail: &[u8]) -> Option<Usage> {
    const NAME: &[u8] = b"\"usage\":";
    let at = tail
        .windows(NAME.len())
        .rposition(|window| window == NAME)?;
    let after = &tail[at + NAME.len()..];
    let mut values = serde_json::Deserializer::from_slice(after).into_iter::<Usage>();
    values.next()?.ok()
}
