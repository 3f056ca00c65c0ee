//! Cuts a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// Text of the event that ends a chat completion's stream.
const DONE: &[u8] = b"data: [DONE]";

/// Cuts a byte stream into complete server-sent events.
///
/// A caller is only given complete events, so that a stream that breaks off
/// always does so between two of them, and another target can go on from a
/// count of events.
#[derive(Debug)]
pub(crate) struct EventSplitter {
    buf: BytesMut,
    searched: usize,
    max: usize,
    done: bool,
}

/// An event grew beyond the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLarge;

impl EventSplitter {
    pub(crate) fn new(max: usize) -> Self {
        EventSplitter {
            buf: BytesMut::new(),
            searched: 0,
            max,
            done: false,
        }
    }

    pub(crate) fn push(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// The next complete event, its blank line included.
    pub(crate) fn next(&mut self) -> Result<Option<Bytes>, EventTooLarge> {
        let Some(end) = self.end_of_event() else {
            let too_large = self.buf.len() > self.max;
            return if too_large {
                Err(EventTooLarge)
            } else {
                Ok(None)
            };
        };
        self.searched = 0;
        let event = self.buf.split_to(end).freeze();
        self.done = event.starts_with(DONE);
        Ok(Some(event))
    }

    /// Whether the stream ended after its last event.
    pub(crate) fn is_complete(&self) -> bool {
        self.done && self.buf.is_empty()
    }

    /// Forgets the part of an event that its target never finished.
    pub(crate) fn reset(&mut self) {
        self.buf.clear();
        self.searched = 0;
        self.done = false;
    }

    /// Where the first event ends: after an empty line.
    fn end_of_event(&mut self) -> Option<usize> {
        let mut at = self.searched;
        while let Some(found) = self.buf[at..].iter().position(|byte| *byte == b'\n') {
            let line_end = at + found + 1;
            match self.buf[line_end..] {
                [b'\n', ..] => return Some(line_end + 1),
                [b'\r', b'\n', ..] => return Some(line_end + 2),
                // The rest of the blank line may still come.
                [] | [b'\r'] => {
                    self.searched = at + found;
                    return None;
                }
                _ => at = line_end,
            }
        }
        self.searched = self.buf.len();
        None
    }
}
