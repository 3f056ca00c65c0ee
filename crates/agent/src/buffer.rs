//! The bytes of one answer between target and entry.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};

/// Whether bytes that arrived may be dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Keep {
    /// They are dropped once they have arrived.
    UntilPassed,
    /// All stay until the answer is recorded: another entry may begin anew.
    Whole,
}

/// An answer's body: what has arrived at the entry goes, the rest stays, so
/// that a fresh link can continue at any offset that may be asked for.
#[derive(Debug)]
pub struct Buffer {
    keep: Keep,
    window: u64,
    max: usize,
    /// Parts by the offset of their first byte, without gaps.
    parts: BTreeMap<u64, Bytes>,
    held: usize,
    passed: u64,
    length: u64,
    crc32c: u32,
}

impl Buffer {
    /// An empty buffer that lets `window` bytes beyond the last progress out
    /// and has room until it holds `max` bytes.
    ///
    /// ```
    /// use agent::{Buffer, Keep};
    ///
    /// let mut buffer = Buffer::new(Keep::UntilPassed, 4, 100);
    /// buffer.push("burl maple".into());
    /// assert_eq!(buffer.read(0, 16).unwrap(), "burl");
    /// assert!(buffer.read(4, 16).is_none());
    /// buffer.pass(3);
    /// assert_eq!(buffer.read(4, 16).unwrap(), " ma");
    /// ```
    #[must_use]
    pub fn new(keep: Keep, window: usize, max: usize) -> Self {
        Buffer {
            keep,
            window: window.max(1) as u64,
            max: max.max(1),
            parts: BTreeMap::new(),
            held: 0,
            passed: 0,
            length: 0,
            crc32c: 0,
        }
    }

    /// Takes the next bytes from the target.
    pub fn push(&mut self, data: Bytes) {
        if data.is_empty() {
            return;
        }
        let offset = self.length;
        self.crc32c = crc32c::crc32c_append(self.crc32c, &data);
        self.length += data.len() as u64;
        self.held += data.len();
        self.parts.insert(offset, data);
    }

    /// Whether more may be taken. A buffer that drops what has passed takes
    /// more again once the entry has read; the target waits until then.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.held < self.max
    }

    /// The next bytes from an offset, at most `most` and within the window.
    #[must_use]
    pub fn read(&self, offset: u64, most: usize) -> Option<Bytes> {
        let limit = self.passed.saturating_add(self.window).min(self.length);
        let wanted = limit.checked_sub(offset)?.min(most as u64);
        if wanted == 0 || !self.holds(offset) {
            return None;
        }
        let wanted = usize::try_from(wanted).unwrap_or(most);
        let (start, first) = self.parts.range(..=offset).next_back()?;
        let skip = usize::try_from(offset - start).ok()?;
        let first = first.slice(skip..);
        if first.len() >= wanted {
            return Some(first.slice(..wanted));
        }
        let mut bytes = BytesMut::with_capacity(wanted);
        bytes.extend_from_slice(&first);
        for (_, part) in self.parts.range(offset + 1..) {
            let left = wanted - bytes.len();
            if left == 0 {
                break;
            }
            bytes.extend_from_slice(&part[..part.len().min(left)]);
        }
        Some(bytes.freeze())
    }

    /// Whether an answer can continue at an offset.
    #[must_use]
    pub fn holds(&self, offset: u64) -> bool {
        let first = self.parts.keys().next().copied().unwrap_or(self.length);
        (first..=self.length).contains(&offset)
    }

    /// Notes that all bytes before an offset have arrived at the entry.
    pub fn pass(&mut self, offset: u64) {
        self.passed = self.passed.max(offset.min(self.length));
        if self.keep == Keep::Whole {
            return;
        }
        while let Some(first) = self.parts.first_entry() {
            if first.key() + first.get().len() as u64 > self.passed {
                break;
            }
            self.held -= first.remove().len();
        }
    }

    /// Continues at an offset, before which all has arrived at whoever asks.
    /// An answer that is kept whole may begin anew, for another entry.
    pub fn attach(&mut self, offset: u64) {
        match self.keep {
            Keep::Whole => self.passed = offset.min(self.length),
            Keep::UntilPassed => self.pass(offset),
        }
    }

    /// Bytes of the answer so far.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Checksum of the answer so far.
    #[must_use]
    pub fn crc32c(&self) -> u32 {
        self.crc32c
    }

    /// Bytes held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }
}
