//! Server-sent events, whole ones.

use bytes::{Bytes, BytesMut};

/// Bytes of one event at most; a longer one is no event of a sane target.
const MOST: usize = 1 << 20;

/// Cuts a stream into whole events.
///
/// A target may stop in the middle of an event. Were its bytes passed on as
/// they come, the caller would get the beginning of an event twice when the
/// stream goes on elsewhere.
#[derive(Debug, Default)]
pub(crate) struct Events {
    buf: BytesMut,
}

/// One event with its closing blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) id: Option<u64>,
    pub(crate) bytes: Bytes,
}

impl Events {
    /// Takes the next bytes; false if what is held can't be an event.
    pub(crate) fn push(&mut self, data: &[u8]) -> bool {
        self.buf.extend_from_slice(data);
        self.buf.len() <= MOST
    }

    /// The next whole event.
    pub(crate) fn next(&mut self) -> Option<Event> {
        let end = end_of_event(&self.buf)?;
        let bytes = self.buf.split_to(end).freeze();
        let id = id_of(&bytes);
        Some(Event { id, bytes })
    }

    /// Whether the stream stands between two events.
    pub(crate) fn is_between(&self) -> bool {
        self.buf.is_empty()
    }

    /// Bytes that are no whole event.
    pub(crate) fn rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    pub(crate) fn clear(&mut self) {
        self.buf.clear();
    }
}

/// Where the first event ends, its blank line included.
fn end_of_event(buf: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(at) = buf[from..].iter().position(|byte| *byte == b'\n') {
        let after = from + at + 1;
        match buf.get(after..) {
            Some([b'\n', ..]) => return Some(after + 1),
            Some([b'\r', b'\n', ..]) => return Some(after + 2),
            _ => from = after,
        }
    }
    None
}

fn id_of(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
