//! Assembly of an answer from its frames.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::proto::frame::Body;
use crate::proto::{AnswerChunk, AnswerEnd, AnswerHead, End};
use crate::{AnswerFailure, AnswerPart};

/// Assembles the answer of one attempt on the receiving side.
///
/// When a silent link is replaced, frames of the old and the new link arrive
/// concurrently. Some are duplicates, some are late, and some belong to an attempt
/// that was abandoned earlier. Without checks, a caller could receive bytes twice,
/// miss bytes, or receive bytes of another answer. Therefore frames of other attempts
/// are ignored, bytes are accepted only from the next expected offset on, and the
/// answer is complete only if its length and checksum match.
///
/// ```
/// use wire::proto::{AnswerChunk, AnswerEnd, AnswerHead, End, frame::Body};
/// use wire::{AnswerAssembler, AnswerPart};
///
/// let attempt: bytes::Bytes = "0123456789abcdef".into();
/// let mut assembler = AnswerAssembler::new(attempt.clone(), 1024);
/// let head = AnswerHead { attempt: attempt.clone(), status: 200, ..Default::default() };
/// let chunk = AnswerChunk { attempt: attempt.clone(), offset: 0, data: "burl".into() };
/// let end = AnswerEnd {
///     attempt,
///     end: End::Whole.into(),
///     length: 4,
///     crc32c: crc32c::crc32c(b"burl"),
///     ..Default::default()
/// };
/// assert_eq!(assembler.push(Body::AnswerHead(head.clone())), [AnswerPart::Head(head)]);
/// let data = [AnswerPart::Data("burl".into())];
/// assert_eq!(assembler.push(Body::AnswerChunk(chunk.clone())), data);
/// assert_eq!(assembler.push(Body::AnswerChunk(chunk)), []);
/// assert_eq!(assembler.push(Body::AnswerEnd(end.clone())), [AnswerPart::Complete(end)]);
/// ```
#[derive(Clone, Debug)]
pub struct AnswerAssembler {
    attempt: Bytes,
    window: usize,
    offset: u64,
    crc32c: u32,
    head_received: bool,
    closed: bool,
    /// Chunks beyond `offset` by their offset, at most `window` bytes in total.
    out_of_order: BTreeMap<u64, Bytes>,
    out_of_order_bytes: usize,
    end: Option<AnswerEnd>,
    dropped: u64,
}

impl AnswerAssembler {
    /// Creates an assembler for the answer of `attempt`.
    ///
    /// `window` is the maximum number of bytes buffered for out-of-order chunks. A chunk
    /// that doesn't fit is dropped; the agent sends it again after a new `Attach`.
    #[must_use]
    pub fn new(attempt: Bytes, window: usize) -> Self {
        AnswerAssembler {
            attempt,
            window,
            offset: 0,
            crc32c: 0,
            head_received: false,
            closed: false,
            out_of_order: BTreeMap::new(),
            out_of_order_bytes: 0,
            end: None,
            dropped: 0,
        }
    }

    /// Processes a frame and returns the parts of the answer that it completes, in order.
    ///
    /// Returns no parts for frames of other attempts, duplicate and late frames, frames
    /// that don't belong to an answer, and frames after the last part.
    ///
    /// ```
    /// use wire::proto::{AnswerChunk, frame::Body};
    ///
    /// let mut assembler = wire::AnswerAssembler::new("mine".into(), 1024);
    /// let foreign = AnswerChunk { attempt: "other".into(), offset: 0, data: "x".into() };
    /// assert!(assembler.push(Body::AnswerChunk(foreign)).is_empty());
    /// assert_eq!(assembler.dropped(), 1);
    /// ```
    pub fn push(&mut self, frame: Body) -> Vec<AnswerPart> {
        if self.closed || attempt_id(&frame) != Some(&self.attempt) {
            self.dropped += 1;
            return Vec::new();
        }
        let mut parts = match frame {
            Body::AnswerHead(head) => self.push_head(head),
            Body::AnswerChunk(chunk) => self.push_chunk(chunk),
            Body::AnswerEnd(end) => self.push_end(end),
            _ => Vec::new(),
        };
        parts.extend(self.last_part());
        parts
    }

    /// Returns the number of body bytes returned so far, which is the offset for a new
    /// `Attach`.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Returns whether the last part was returned.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Returns the number of frames dropped because they belong to another attempt, are late
    /// or duplicate, or exceed the window.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn push_head(&mut self, head: AnswerHead) -> Vec<AnswerPart> {
        if self.head_received {
            self.dropped += 1;
            return Vec::new();
        }
        self.head_received = true;
        let mut parts = vec![AnswerPart::Head(head)];
        parts.extend(self.drain_out_of_order());
        parts
    }

    fn push_chunk(&mut self, chunk: AnswerChunk) -> Vec<AnswerPart> {
        // Reject offsets that would overflow the sums below.
        let Some(end) = chunk.offset.checked_add(chunk.data.len() as u64) else {
            self.dropped += 1;
            return Vec::new();
        };
        if end <= self.offset {
            self.dropped += 1;
            return Vec::new();
        }
        if !self.head_received || chunk.offset > self.offset {
            self.buffer_out_of_order(chunk);
            return Vec::new();
        }
        let mut parts = vec![self.deliver(chunk.offset, &chunk.data)];
        parts.extend(self.drain_out_of_order());
        parts
    }

    fn push_end(&mut self, end: AnswerEnd) -> Vec<AnswerPart> {
        // Keep the first end; a second one is a duplicate from a new link.
        if self.end.is_some() {
            self.dropped += 1;
        }
        self.end.get_or_insert(end);
        Vec::new()
    }

    fn buffer_out_of_order(&mut self, chunk: AnswerChunk) {
        let buffered = self.out_of_order.get(&chunk.offset).map_or(0, Bytes::len);
        let additional = chunk.data.len().saturating_sub(buffered);
        if additional == 0 || self.out_of_order_bytes + additional > self.window {
            self.dropped += 1;
            return;
        }
        self.out_of_order_bytes += additional;
        self.out_of_order.insert(chunk.offset, chunk.data);
    }

    fn drain_out_of_order(&mut self) -> Vec<AnswerPart> {
        let mut parts = Vec::new();
        while let Some(entry) = self.out_of_order.first_entry() {
            if *entry.key() > self.offset {
                break;
            }
            let (offset, data) = entry.remove_entry();
            self.out_of_order_bytes -= data.len();
            if offset + data.len() as u64 > self.offset {
                parts.push(self.deliver(offset, &data));
            }
        }
        parts
    }

    /// Returns the part of a chunk beyond the current offset.
    fn deliver(&mut self, offset: u64, data: &Bytes) -> AnswerPart {
        let skip = usize::try_from(self.offset - offset).unwrap_or(data.len());
        let data = data.slice(skip.min(data.len())..);
        self.offset += data.len() as u64;
        self.crc32c = crc32c::crc32c_append(self.crc32c, &data);
        AnswerPart::Data(data)
    }

    fn last_part(&mut self) -> Option<AnswerPart> {
        let end = self.end.as_ref()?;
        if !matches!(end.end(), End::Whole | End::Unconfirmed) {
            self.closed = true;
            return Some(AnswerPart::Failed(AnswerFailure::Aborted(end.clone())));
        }
        let incomplete = !self.head_received || self.offset < end.length;
        if incomplete {
            return None;
        }
        self.closed = true;
        let intact = self.offset == end.length && self.crc32c == end.crc32c;
        let end = end.clone();
        Some(if intact {
            AnswerPart::Complete(end)
        } else {
            AnswerPart::Failed(AnswerFailure::Corrupted(end))
        })
    }
}

fn attempt_id(frame: &Body) -> Option<&Bytes> {
    match frame {
        Body::AnswerHead(head) => Some(&head.attempt),
        Body::AnswerChunk(chunk) => Some(&chunk.attempt),
        Body::AnswerEnd(end) => Some(&end.attempt),
        _ => None,
    }
}
