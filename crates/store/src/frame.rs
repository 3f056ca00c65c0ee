//! Encoding of records in a segment.
//!
//! Each record is encoded as `length: u32, crc32c: u32, synced: u64, kind: u8,
//! index: u64, term: u64, data`, little-endian. The length counts the bytes
//! after the crc, and the crc covers the length and the bytes after the crc.
//!
//! `synced` is the offset in the segment up to which all data was synced when
//! the record was written. It distinguishes a torn write, where a crash left
//! unsynced data incomplete, from damage to synced data: only in the latter
//! case is an invalid record followed by a record that was written after it had
//! been synced.

use bytes::{Buf, BufMut, Bytes};

/// Magic number at the start of a segment.
pub(crate) const MAGIC: &[u8; 8] = b"lovlog01";
const HEADER_LEN: usize = 8;
const FIXED_LEN: usize = 25;
/// Maximum length of the data of a record, in bytes.
pub(crate) const MAX_DATA_LEN: usize = 256 << 20;

/// A record as encoded in a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Frame {
    pub(crate) synced_len: u64,
    pub(crate) kind: FrameKind,
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) data: Bytes,
}

/// Kind of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameKind {
    /// Log record, with the kind defined by the user of the log.
    Entry(u8),
    /// Term, vote and commit index. The vote is stored as the index, 0 for none, and the
    /// commit index as the data.
    HardState,
    /// All records before are discarded; the log continues after the index.
    Reset,
}

const HARD_STATE: u8 = 0xfe;
const RESET: u8 = 0xff;

impl FrameKind {
    fn from_byte(byte: u8) -> FrameKind {
        match byte {
            HARD_STATE => FrameKind::HardState,
            RESET => FrameKind::Reset,
            kind => FrameKind::Entry(kind),
        }
    }

    fn to_byte(self) -> u8 {
        match self {
            FrameKind::Entry(kind) => kind,
            FrameKind::HardState => HARD_STATE,
            FrameKind::Reset => RESET,
        }
    }
}

impl Frame {
    pub(crate) fn encode(&self, buf: &mut Vec<u8>) {
        let start = buf.len();
        let length = u32::try_from(FIXED_LEN + self.data.len()).unwrap_or(u32::MAX);
        buf.put_u32_le(length);
        buf.put_u32_le(0);
        buf.put_u64_le(self.synced_len);
        buf.put_u8(self.kind.to_byte());
        buf.put_u64_le(self.index);
        buf.put_u64_le(self.term);
        buf.put_slice(&self.data);
        let crc = checksum(&buf[start..]);
        buf[start + 4..start + HEADER_LEN].copy_from_slice(&crc.to_le_bytes());
    }

    /// Reads the synced length of a possible record at the start of the bytes
    /// without decoding it. Kept cheap because a search calls it at every
    /// offset.
    pub(crate) fn peek_synced(bytes: &[u8]) -> Option<u64> {
        bytes
            .get(HEADER_LEN..HEADER_LEN + 8)
            .map(|mut b| b.get_u64_le())
    }

    /// Decodes the record at the start of the bytes and returns it with its
    /// length, or `None` if there is no complete and valid one.
    pub(crate) fn decode(bytes: &Bytes) -> Option<(Frame, usize)> {
        let mut head = bytes.get(..HEADER_LEN + FIXED_LEN)?;
        let length = usize::try_from(head.get_u32_le()).ok()?;
        let crc = head.get_u32_le();
        if !(FIXED_LEN..=FIXED_LEN + MAX_DATA_LEN).contains(&length) {
            return None;
        }
        let record = bytes.get(..HEADER_LEN + length)?;
        if checksum(record) != crc {
            return None;
        }
        let frame = Frame {
            synced_len: head.get_u64_le(),
            kind: FrameKind::from_byte(head.get_u8()),
            index: head.get_u64_le(),
            term: head.get_u64_le(),
            data: bytes.slice(HEADER_LEN + FIXED_LEN..HEADER_LEN + length),
        };
        Some((frame, HEADER_LEN + length))
    }
}

fn checksum(record: &[u8]) -> u32 {
    let crc = crc32c::crc32c(&record[..4]);
    crc32c::crc32c_append(crc, &record[HEADER_LEN..])
}
