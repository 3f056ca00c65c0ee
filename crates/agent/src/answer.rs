//! One attempt's answer, shared by those who fill, send and watch it.

use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use ledger::Attempt;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use wire::Link;
use wire::proto::frame::Body;
use wire::proto::{AnswerChunk, AnswerEnd, AnswerHead, Header, Usage};

use crate::{Buffer, Ending, Keep};

/// Bytes of one chunk at most; small enough that no answer holds up the
/// others on its link for long.
const MAX_CHUNK: usize = 32 << 10;

/// One attempt's answer.
#[derive(Debug)]
pub(crate) struct Answer {
    id: Bytes,
    inner: Mutex<Inner>,
    /// More may be sent.
    readable: Notify,
    /// More may be taken from the target.
    room: Notify,
    /// Stops the attempt.
    pub cancel: CancellationToken,
}

#[derive(Debug)]
struct Inner {
    buffer: Buffer,
    head: Option<(u16, Vec<(String, Bytes)>)>,
    ending: Option<Ending>,
    stage: Stage,
    sender: Option<(Link, CancellationToken)>,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Nothing was written to the target.
    Unwritten,
    /// The target may be running it.
    Written,
}

/// The next thing to send.
pub(crate) enum Next {
    Frame(Body),
    Last(Body),
    Wait,
}

/// Where a sender stands in the answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cursor {
    pub head: HeadSent,
    pub offset: u64,
}

/// Whether a link has had the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadSent {
    Yes,
    No,
}

impl Answer {
    pub fn new(attempt: Attempt, keep: Keep, window: usize, max: usize) -> Self {
        Answer {
            id: Bytes::copy_from_slice(&attempt.to_bytes()),
            inner: Mutex::new(Inner {
                buffer: Buffer::new(keep, window, max),
                head: None,
                ending: None,
                stage: Stage::Unwritten,
                sender: None,
            }),
            readable: Notify::new(),
            room: Notify::new(),
            cancel: CancellationToken::new(),
        }
    }

    /// The attempt's identity as it stands in frames.
    pub fn id(&self) -> Bytes {
        self.id.clone()
    }

    pub fn set_written(&self) {
        self.lock().stage = Stage::Written;
    }

    pub fn stage(&self) -> Stage {
        self.lock().stage
    }

    pub fn set_head(&self, status: u16, headers: Vec<(String, Bytes)>) {
        self.lock().head = Some((status, headers));
        self.readable.notify_one();
    }

    pub fn push(&self, data: Bytes) {
        self.lock().buffer.push(data);
        self.readable.notify_one();
    }

    /// Ends the answer; the first ending stays.
    pub fn end(&self, ending: Ending) {
        let mut inner = self.lock();
        if inner.ending.is_none() {
            inner.ending = Some(ending);
        }
        drop(inner);
        self.readable.notify_one();
    }

    pub fn has_room(&self) -> bool {
        self.lock().buffer.has_room()
    }

    /// Waits until the entry has read enough for more to be taken.
    pub async fn await_room(&self) {
        while !self.has_room() {
            self.room.notified().await;
        }
    }

    pub fn pass(&self, offset: u64) {
        self.lock().buffer.pass(offset);
        self.readable.notify_one();
        self.room.notify_one();
    }

    /// Bytes held for the answer.
    pub fn held(&self) -> usize {
        self.lock().buffer.held()
    }

    /// Whether a link that is up has the answer.
    pub fn is_attached(&self) -> bool {
        let inner = self.lock();
        let sender = inner.sender.as_ref();
        sender.is_some_and(|(link, _)| !link.is_closed())
    }

    /// Gives the answer to a link, in place of the one that had it. The token
    /// ends when yet another link takes over.
    ///
    /// `None` when the bytes from that offset are no longer held.
    pub fn attach(&self, link: &Link, offset: u64) -> Option<CancellationToken> {
        let mut inner = self.lock();
        if !inner.buffer.holds(offset) {
            return None;
        }
        inner.buffer.attach(offset);
        let token = CancellationToken::new();
        let former = inner.sender.replace((link.clone(), token.clone()));
        if let Some((_, former)) = former {
            former.cancel();
        }
        drop(inner);
        self.room.notify_one();
        Some(token)
    }

    /// What a link that stands at `cursor` is sent next.
    pub fn next(&self, cursor: &mut Cursor) -> Next {
        let inner = self.lock();
        if cursor.head == HeadSent::No
            && let Some((status, headers)) = &inner.head
        {
            cursor.head = HeadSent::Yes;
            return Next::Frame(head_frame(self.id(), *status, headers));
        }
        if let Some(data) = inner.buffer.read(cursor.offset, MAX_CHUNK) {
            let offset = cursor.offset;
            cursor.offset += data.len() as u64;
            return Next::Frame(Body::AnswerChunk(AnswerChunk {
                attempt: self.id(),
                offset,
                data,
            }));
        }
        let read = cursor.offset >= inner.buffer.length();
        let Some(ending) = inner.ending.clone().filter(|_| read) else {
            return Next::Wait;
        };
        Next::Last(end_frame(self.id(), &inner.buffer, ending))
    }

    pub async fn await_readable(&self) {
        self.readable.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn head_frame(attempt: Bytes, status: u16, headers: &[(String, Bytes)]) -> Body {
    let headers = headers.iter().map(|(name, value)| Header {
        name: name.clone(),
        value: value.clone(),
    });
    Body::AnswerHead(AnswerHead {
        attempt,
        status: status.into(),
        headers: headers.collect(),
    })
}

fn end_frame(attempt: Bytes, buffer: &Buffer, ending: Ending) -> Body {
    let usage = ending.usage.map(|usage| Usage {
        prompt_tokens: usage.prompt_tokens,
        cached_tokens: usage.cached_tokens,
        completion_tokens: usage.completion_tokens,
    });
    Body::AnswerEnd(AnswerEnd {
        attempt,
        end: ending.end.into(),
        length: buffer.length(),
        crc32c: buffer.crc32c(),
        reason: ending.reason,
        usage,
    })
}
