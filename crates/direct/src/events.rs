//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};
use outlet::ContentEnd;

/// Maximum size of one event; a longer one is treated as malformed.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a stream into complete events.
///
/// A target may fail in the middle of an event. If partial events were
/// forwarded, the caller would receive the beginning of an event twice when the
/// stream is resumed at another target.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    buf: BytesMut,
}

/// One event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) id: Option<u64>,
    pub(crate) bytes: Bytes,
}

impl EventBuffer {
    /// Appends received bytes; returns false if the buffered event exceeds
    /// [`MAX_EVENT_BYTES`].
    pub(crate) fn push(&mut self, data: &[u8]) -> bool {
        self.buf.extend_from_slice(data);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next complete event.
    pub(crate) fn next(&mut self) -> Option<Event> {
        let end = end_of_event(&self.buf)?;
        let bytes = self.buf.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { id, bytes })
    }

    /// Where the stream ends if nothing follows.
    pub(crate) fn content_end(&self) -> ContentEnd {
        if self.buf.iter().all(|byte| matches!(byte, b'\r' | b'\n')) {
            ContentEnd::BetweenEvents
        } else {
            ContentEnd::InsideEvent
        }
    }

    /// Removes and returns the bytes after the last complete event.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    pub(crate) fn clear(&mut self) {
        self.buf.clear();
    }
}

/// Offset of the end of the first event, including its blank line.
fn end_of_event(buf: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(at) = buf[start..].iter().position(|byte| *byte == b'\n') {
        let after = start + at + 1;
        match buf.get(after..) {
            Some([b'\n', ..]) => return Some(after + 1),
            Some([b'\r', b'\n', ..]) => return Some(after + 2),
            _ => start = after,
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
