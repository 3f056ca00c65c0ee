//! Puts the frames of one answer together.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::proto::frame::Body;
use crate::proto::{AnswerChunk, AnswerEnd, AnswerHead, End};
use crate::{AnswerFailure, AnswerPart};

/// The receiving side of one attempt's answer.
///
/// After a link went silent, the frames of the old and of the fresh link
/// arrive side by side: some doubled, some late, and some of an attempt that
/// was given up before. A caller would see bytes twice, missing or of
/// somebody else's answer. So each frame counts only if it names this
/// attempt, bytes count only from the offset that comes next, and the answer
/// is whole only if length and checksum match in the end.
///
/// ```
/// use wire::proto::{AnswerChunk, AnswerEnd, AnswerHead, End, frame::Body};
/// use wire::{AnswerAssembler, AnswerPart};
///
/// let attempt: bytes::Bytes = "0123456789abcdef".into();
/// let mut assembly = AnswerAssembler::new(attempt.clone(), 1024);
/// let head = AnswerHead { attempt: attempt.clone(), status: 200, ..Default::default() };
/// let chunk = AnswerChunk { attempt: attempt.clone(), offset: 0, data: "burl".into() };
/// let end = AnswerEnd {
///     attempt,
///     end: End::Whole.into(),
///     length: 4,
///     crc32c: crc32c::crc32c(b"burl"),
///     ..Default::default()
/// };
/// assert_eq!(assembly.push(Body::AnswerHead(head.clone())), [AnswerPart::Head(head)]);
/// let data = [AnswerPart::Data("burl".into())];
/// assert_eq!(assembly.push(Body::AnswerChunk(chunk.clone())), data);
/// assert_eq!(assembly.push(Body::AnswerChunk(chunk)), []);
/// assert_eq!(assembly.push(Body::AnswerEnd(end.clone())), [AnswerPart::Complete(end)]);
/// ```
#[derive(Clone, Debug)]
pub struct AnswerAssembler {
    attempt: Bytes,
    window: usize,
    offset: u64,
    crc32c: u32,
    headed: bool,
    closed: bool,
    /// Chunks beyond `offset`, at most `window` bytes of them.
    early: BTreeMap<u64, Bytes>,
    early_bytes: usize,
    end: Option<AnswerEnd>,
    dropped: u64,
}

impl AnswerAssembler {
    /// An answer of which nothing has arrived.
    ///
    /// `window` bounds the bytes kept of chunks that arrive too early; one
    /// that doesn't fit is dropped, and comes again when the attempt is
    /// attached anew.
    #[must_use]
    pub fn new(attempt: Bytes, window: usize) -> Self {
        AnswerAssembler {
            attempt,
            window,
            offset: 0,
            crc32c: 0,
            headed: false,
            closed: false,
            early: BTreeMap::new(),
            early_bytes: 0,
            end: None,
            dropped: 0,
        }
    }

    /// Takes a frame and returns what it adds, in order.
    ///
    /// Frames of other attempts, doubled and late ones, ones that are no part
    /// of an answer and all that follow the last piece give nothing.
    ///
    /// ```
    /// use wire::proto::{AnswerChunk, frame::Body};
    ///
    /// let mut assembly = wire::AnswerAssembler::new("mine".into(), 1024);
    /// let foreign = AnswerChunk { attempt: "other".into(), offset: 0, data: "x".into() };
    /// assert!(assembly.push(Body::AnswerChunk(foreign)).is_empty());
    /// assert_eq!(assembly.dropped(), 1);
    /// ```
    pub fn push(&mut self, frame: Body) -> Vec<AnswerPart> {
        if self.closed || attempt_of(&frame) != Some(&self.attempt) {
            self.dropped += 1;
            return Vec::new();
        }
        let mut pieces = match frame {
            Body::AnswerHead(head) => self.take_head(head),
            Body::AnswerChunk(chunk) => self.take_chunk(chunk),
            Body::AnswerEnd(end) => self.take_end(end),
            _ => Vec::new(),
        };
        pieces.extend(self.last_piece());
        pieces
    }

    /// Bytes of the body given out so far; where to attach anew.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Whether the last piece was given out.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Frames that gave nothing because they were foreign, late or doubled.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn take_head(&mut self, head: AnswerHead) -> Vec<AnswerPart> {
        if self.headed {
            self.dropped += 1;
            return Vec::new();
        }
        self.headed = true;
        let mut pieces = vec![AnswerPart::Head(head)];
        pieces.extend(self.take_early());
        pieces
    }

    fn take_chunk(&mut self, chunk: AnswerChunk) -> Vec<AnswerPart> {
        // The last offset must be a number, or a sum below could overflow.
        let Some(last) = chunk.offset.checked_add(chunk.data.len() as u64) else {
            self.dropped += 1;
            return Vec::new();
        };
        if last <= self.offset {
            self.dropped += 1;
            return Vec::new();
        }
        if !self.headed || chunk.offset > self.offset {
            self.keep_early(chunk);
            return Vec::new();
        }
        let mut pieces = vec![self.deliver(chunk.offset, &chunk.data)];
        pieces.extend(self.take_early());
        pieces
    }

    fn take_end(&mut self, end: AnswerEnd) -> Vec<AnswerPart> {
        // The first end stays; a second one is doubled by a fresh link.
        if self.end.is_some() {
            self.dropped += 1;
        }
        self.end.get_or_insert(end);
        Vec::new()
    }

    fn keep_early(&mut self, chunk: AnswerChunk) {
        let held = self.early.get(&chunk.offset).map_or(0, Bytes::len);
        let more = chunk.data.len().saturating_sub(held);
        if more == 0 || self.early_bytes + more > self.window {
            self.dropped += 1;
            return;
        }
        self.early_bytes += more;
        self.early.insert(chunk.offset, chunk.data);
    }

    fn take_early(&mut self) -> Vec<AnswerPart> {
        let mut pieces = Vec::new();
        while let Some(entry) = self.early.first_entry() {
            if *entry.key() > self.offset {
                break;
            }
            let (offset, data) = entry.remove_entry();
            self.early_bytes -= data.len();
            if offset + data.len() as u64 > self.offset {
                pieces.push(self.deliver(offset, &data));
            }
        }
        pieces
    }

    /// Gives out the part of a chunk that lies beyond the offset.
    fn deliver(&mut self, offset: u64, data: &Bytes) -> AnswerPart {
        let skip = usize::try_from(self.offset - offset).unwrap_or(data.len());
        let data = data.slice(skip.min(data.len())..);
        self.offset += data.len() as u64;
        self.crc32c = crc32c::crc32c_append(self.crc32c, &data);
        AnswerPart::Data(data)
    }

    fn last_piece(&mut self) -> Option<AnswerPart> {
        let end = self.end.as_ref()?;
        if end.end() != End::Whole {
            self.closed = true;
            return Some(AnswerPart::Failed(AnswerFailure::Aborted(end.clone())));
        }
        let missing = !self.headed || self.offset < end.length;
        if missing {
            return None;
        }
        self.closed = true;
        let whole = self.offset == end.length && self.crc32c == end.crc32c;
        let end = end.clone();
        Some(if whole {
            AnswerPart::Complete(end)
        } else {
            AnswerPart::Failed(AnswerFailure::Corrupted(end))
        })
    }
}

fn attempt_of(frame: &Body) -> Option<&Bytes> {
    match frame {
        Body::AnswerHead(head) => Some(&head.attempt),
        Body::AnswerChunk(chunk) => Some(&chunk.attempt),
        Body::AnswerEnd(end) => Some(&end.attempt),
        _ => None,
    }
}
