//! The answer to a call, as it comes.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode};
use serde::Deserialize;
use tokio::time::timeout;

use ::outlet::{Connection, Pool};
use admin::HOP_HEADERS;

use super::{ClientSettings, Failure, Whole};

const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Tokens that an answer took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that were cached.
    pub cached_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
}

/// A target's answer: its head is here, its body comes.
pub struct Reply {
    status: StatusCode,
    headers: Vec<(String, Bytes)>,
    body: Incoming,
    whole: Whole,
    cfg: ClientSettings,
    /// Closes the connection when the reply is dropped before its end.
    conn: Option<Connection>,
    pool: Arc<Pool>,
}

impl Reply {
    pub(crate) fn new(
        response: Response<Incoming>,
        conn: Connection,
        cfg: &ClientSettings,
        method: &str,
        pool: Arc<Pool>,
    ) -> Self {
        let (head, body) = response.into_parts();
        Reply {
            whole: form(head.status, &head.headers, method),
            status: head.status,
            headers: passed_on(&head.headers),
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

    /// Headers that are passed on.
    #[must_use]
    pub fn headers(&self) -> Vec<(String, Bytes)> {
        self.headers.clone()
    }

    /// The next bytes of the body, `None` once it ended as a whole.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks, when nothing comes for too long and
    /// when the body ends before it is whole.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let Ok(frame) = timeout(self.cfg.progress, self.body.frame()).await else {
                return Err(Failure::Silent("no byte came in time".into()));
            };
            let Some(frame) = frame else {
                return self.end().map(|()| None);
            };
            let frame = frame.map_err(|e| Failure::Broken(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.whole.push(&data);
                return Ok(Some(data));
            }
        }
    }

    /// Tokens that the answer took, as far as its end tells.
    #[must_use]
    pub fn usage(&self) -> Option<Usage> {
        parse_usage(self.whole.tail())
    }

    fn end(&mut self) -> Result<(), Failure> {
        if !self.whole.is_whole() {
            return Err(Failure::EndedEarly("the last event is missing".into()));
        }
        if let Some(mut conn) = self.conn.take()
            && conn.keep(&self.cfg).is_ok()
        {
            self.pool.put(conn, Instant::now());
        }
        Ok(())
    }
}

/// Copies: the values as they came hold on to the whole of the connection's
/// first read buffer for as long as the answer takes.
fn passed_on(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let passed = headers
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()));
    passed
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect()
}

fn form(status: StatusCode, headers: &HeaderMap, method: &str) -> Whole {
    let kind = headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    let events = kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM));
    if events && status.is_success() {
        return Whole::events();
    }
    let empty =
        method == "HEAD" || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    let framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    if empty || framed {
        Whole::framed()
    } else {
        Whole::unframed()
    }
}

/// The usage stands near the end, in the last events or at the end of the
/// document; the tail may begin anywhere before it.
fn parse_usage(tail: &[u8]) -> Option<Usage> {
    const NAME: &[u8] = b"\"usage\":";
    let at = tail
        .windows(NAME.len())
        .rposition(|window| window == NAME)?;
    let after = &tail[at + NAME.len()..];
    let mut values = serde_json::Deserializer::from_slice(after).into_iter::<Usage>();
    values.next()?.ok()
}
