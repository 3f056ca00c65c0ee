//! Splits a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// Data of the event that ends the stream of a chat completion.
const DONE: &[u8] = b"data: [DONE]";

/// Splits a byte stream into complete server-sent events.
///
/// Callers receive only complete events. A stream that is aborted thus always ends
/// between two events, and another target can resume after a number of events.
#[derive(Debug)]
pub(crate) struct EventSplitter {
    buf: BytesMut,
    searched: usize,
    max: usize,
    done: bool,
}

/// An event exceeds the size limit.
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

    /// Returns the next complete event, including its blank line.
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

    /// Whether the stream has ended with its final event.
    pub(crate) fn is_complete(&self) -> bool {
        self.done && self.buf.is_empty()
    }

    /// Discards an incomplete event.
    pub(crate) fn reset(&mut self) {
        self.buf.clear();
        self.searched = 0;
        self.done = false;
    }

    /// Returns the end of the first event, which is after an empty line.
    fn end_of_event(&mut self) -> Option<usize> {
        let mut at = self.searched;
        while let Some(found) = self.buf[at..].iter().position(|byte| *byte == b'\n') {
            let line_end = at + found + 1;
            match self.buf[line_end..] {
                [b'\n', ..] => return Some(line_end + 1),
                [b'\r', b'\n', ..] => return Some(line_end + 2),
                // The rest of the blank line may not have arrived yet.
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
