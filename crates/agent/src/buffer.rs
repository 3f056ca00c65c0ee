//! Buffer of one answer between target and entry.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};

/// When the bytes of an answer may be dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retention {
    /// Once the entry has acknowledged them.
    UntilAcknowledged,
    /// Once the whole answer is recorded, so that another entry can read it from
    /// the start.
    UntilRecorded,
}

/// The body of an answer. Bytes that the entry may still request are kept, so
/// that a new link can continue at that offset.
#[derive(Debug)]
pub struct Buffer {
    retention: Retention,
    window: u64,
    max: usize,
    /// Chunks by the offset of their first byte, without gaps.
    chunks: BTreeMap<u64, Bytes>,
    held_bytes: usize,
    acknowledged: u64,
    length: u64,
    crc32c: u32,
}

impl Buffer {
    /// An empty buffer. At most `window` bytes beyond the acknowledged offset can
    /// be read, and there is room until `max` bytes are held.
    ///
    /// ```
    /// use agent::{Buffer, Retention};
    ///
    /// let mut buffer = Buffer::new(Retention::UntilAcknowledged, 4, 100);
    /// buffer.push("burl maple".into());
    /// assert_eq!(buffer.read(0, 16).unwrap(), "burl");
    /// assert!(buffer.read(4, 16).is_none());
    /// buffer.acknowledge(3);
    /// assert_eq!(buffer.read(4, 16).unwrap(), " ma");
    /// ```
    #[must_use]
    pub fn new(retention: Retention, window: usize, max: usize) -> Self {
        Buffer {
            retention,
            window: window.max(1) as u64,
            max: max.max(1),
            chunks: BTreeMap::new(),
            held_bytes: 0,
            acknowledged: 0,
            length: 0,
            crc32c: 0,
        }
    }

    /// Appends the next bytes from the target.
    pub fn push(&mut self, data: Bytes) {
        if data.is_empty() {
            return;
        }
        let offset = self.length;
        self.crc32c = crc32c::crc32c_append(self.crc32c, &data);
        self.length += data.len() as u64;
        self.held_bytes += data.len();
        self.chunks.insert(offset, data);
    }

    /// Whether there is room for more bytes. If bytes are dropped when they are
    /// acknowledged, room returns as the entry reads; the target waits until then.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.held_bytes < self.max
    }

    /// The next bytes from an offset, at most `max` and within the window.
    #[must_use]
    pub fn read(&self, offset: u64, max: usize) -> Option<Bytes> {
        let limit = self
            .acknowledged
            .saturating_add(self.window)
            .min(self.length);
        let wanted = limit.checked_sub(offset)?.min(max as u64);
        if wanted == 0 || !self.holds(offset) {
            return None;
        }
        let wanted = usize::try_from(wanted).unwrap_or(max);
        let (start, first) = self.chunks.range(..=offset).next_back()?;
        let skip = usize::try_from(offset - start).ok()?;
        let first = first.slice(skip..);
        if first.len() >= wanted {
            return Some(first.slice(..wanted));
        }
        let mut bytes = BytesMut::with_capacity(wanted);
        bytes.extend_from_slice(&first);
        for (_, chunk) in self.chunks.range(offset + 1..) {
            let left = wanted - bytes.len();
            if left == 0 {
                break;
            }
            bytes.extend_from_slice(&chunk[..chunk.len().min(left)]);
        }
        Some(bytes.freeze())
    }

    /// Whether the answer can be sent from an offset on.
    #[must_use]
    pub fn holds(&self, offset: u64) -> bool {
        let first = self.chunks.keys().next().copied().unwrap_or(self.length);
        (first..=self.length).contains(&offset)
    }

    /// Acknowledges that all bytes before an offset have arrived at the entry.
    pub fn acknowledge(&mut self, offset: u64) {
        self.acknowledged = self.acknowledged.max(offset.min(self.length));
        if self.retention == Retention::UntilRecorded {
            return;
        }
        while let Some(first) = self.chunks.first_entry() {
            if first.key() + first.get().len() as u64 > self.acknowledged {
                break;
            }
            self.held_bytes -= first.remove().len();
        }
    }

    /// Continues at an offset for a newly attached link; the bytes before it count
    /// as acknowledged. An answer that is kept until it is recorded may go back to
    /// an earlier offset, for another entry.
    pub fn attach(&mut self, offset: u64) {
        match self.retention {
            Retention::UntilRecorded => self.acknowledged = offset.min(self.length),
            Retention::UntilAcknowledged => self.acknowledge(offset),
        }
    }

    /// Length of the answer so far, in bytes.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.length
    }

    /// CRC-32C of the answer so far.
    #[must_use]
    pub fn crc32c(&self) -> u32 {
        self.crc32c
    }

    /// Number of bytes held.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }
}
