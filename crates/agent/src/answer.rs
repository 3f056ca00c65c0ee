//! The answer of one attempt, shared by its producer, sender and manager.

use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use ledger::Attempt;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use wire::Link;
use wire::proto::frame::Body;
use wire::proto::{AnswerChunk, AnswerEnd, AnswerHead, Header, Usage};

use crate::{Buffer, Ending, Retention};

/// Maximum chunk size; small enough that one answer doesn't delay the others on
/// its link for long.
const MAX_CHUNK_BYTES: usize = 32 << 10;

/// The answer of one attempt.
#[derive(Debug)]
pub(crate) struct Answer {
    id: Bytes,
    inner: Mutex<Inner>,
    /// Notified when there may be more to send.
    readable: Notify,
    /// Notified when there may be room for more bytes from the target.
    room: Notify,
    /// Cancels the attempt.
    pub cancel: CancellationToken,
}

#[derive(Debug)]
struct Inner {
    buffer: Buffer,
    head: Option<(u16, Vec<(String, Bytes)>)>,
    ending: Option<Ending>,
    write_state: WriteState,
    sender: Option<(Link, CancellationToken)>,
}

/// Whether the request has been written to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteState {
    /// Nothing was written.
    Unwritten,
    /// It was written, and the target may be running it.
    Written,
}

/// What a sender does next.
pub(crate) enum Next {
    Frame(Body),
    Last(Body),
    Wait,
}

/// Position of a sender in the answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cursor {
    pub head: HeadSent,
    pub offset: u64,
}

/// Whether the head of the answer was sent on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadSent {
    Yes,
    No,
}

impl Answer {
    pub fn new(attempt: Attempt, retention: Retention, window: usize, max: usize) -> Self {
        Answer {
            id: Bytes::copy_from_slice(&attempt.to_bytes()),
            inner: Mutex::new(Inner {
                buffer: Buffer::new(retention, window, max),
                head: None,
                ending: None,
                write_state: WriteState::Unwritten,
                sender: None,
            }),
            readable: Notify::new(),
            room: Notify::new(),
            cancel: CancellationToken::new(),
        }
    }

    /// The attempt's id as encoded in frames.
    pub fn id(&self) -> Bytes {
        self.id.clone()
    }

    pub fn set_written(&self) {
        self.lock().write_state = WriteState::Written;
    }

    pub fn write_state(&self) -> WriteState {
        self.lock().write_state
    }

    pub fn set_head(&self, status: u16, headers: Vec<(String, Bytes)>) {
        self.lock().head = Some((status, headers));
        self.readable.notify_one();
    }

    pub fn push(&self, data: Bytes) {
        self.lock().buffer.push(data);
        self.readable.notify_one();
    }

    /// Ends the answer; only the first call has an effect.
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

    /// Waits until the entry has read enough to make room for more bytes.
    pub async fn wait_for_room(&self) {
        while !self.has_room() {
            self.room.notified().await;
        }
    }

    pub fn acknowledge(&self, offset: u64) {
        self.lock().buffer.acknowledge(offset);
        self.readable.notify_one();
        self.room.notify_one();
    }

    /// Bytes held for the answer.
    pub fn held_bytes(&self) -> usize {
        self.lock().buffer.held_bytes()
    }

    /// Whether the answer is attached to a link that is up.
    pub fn is_attached(&self) -> bool {
        let inner = self.lock();
        let sender = inner.sender.as_ref();
        sender.is_some_and(|(link, _)| !link.is_closed())
    }

    /// Attaches the answer to a link, replacing the previous one. The returned
    /// token is cancelled when another link takes over.
    ///
    /// Returns `None` if the bytes from that offset on are no longer held.
    pub fn attach(&self, link: &Link, offset: u64) -> Option<CancellationToken> {
        let mut inner = self.lock();
        if !inner.buffer.holds(offset) {
            return None;
        }
        inner.buffer.attach(offset);
        let token = CancellationToken::new();
        let previous = inner.sender.replace((link.clone(), token.clone()));
        if let Some((_, previous)) = previous {
            previous.cancel();
        }
        drop(inner);
        self.room.notify_one();
        Some(token)
    }

    /// The next frame for a sender at `cursor`.
    pub fn next(&self, cursor: &mut Cursor) -> Next {
        let inner = self.lock();
        if cursor.head == HeadSent::No
            && let Some((status, headers)) = &inner.head
        {
            cursor.head = HeadSent::Yes;
            return Next::Frame(head_frame(self.id(), *status, headers));
        }
        if let Some(data) = inner.buffer.read(cursor.offset, MAX_CHUNK_BYTES) {
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

    pub async fn wait_readable(&self) {
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
