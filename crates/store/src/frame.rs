//! How a record lies in a segment.
//!
//! Each record is `length: u32, crc32c: u32, synced: u64, kind: u8, index: u64,
//! term: u64, data`, little-endian; the length counts what follows the crc,
//! and the crc covers the length and what follows the crc.
//!
//! `synced` is the place in the segment up to which all was synced when the
//! record was written. It tells a torn write, where a crash left holes in what
//! nobody was promised, from damage to what was synced: only damage has a
//! record behind it that says so.

use bytes::{Buf, BufMut, Bytes};

/// First bytes of a segment.
pub(crate) const MAGIC: &[u8; 8] = b"lovlog01";
const HEAD: usize = 8;
const FIXED: usize = 25;
/// Longest data that is taken for a record.
pub(crate) const MAX_DATA: usize = 256 << 20;

/// A record as it lies in a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Frame {
    pub(crate) synced: u64,
    pub(crate) kind: FrameKind,
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) data: Bytes,
}

/// What a record of a segment is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameKind {
    /// A record of the log, with the kind that its user gave.
    Entry(u8),
    /// Term and vote; the vote is the index, 0 for none.
    HardState,
    /// All before is void; the log goes on after the index.
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
        let length = u32::try_from(FIXED + self.data.len()).unwrap_or(u32::MAX);
        buf.put_u32_le(length);
        buf.put_u32_le(0);
        buf.put_u64_le(self.synced);
        buf.put_u8(self.kind.to_byte());
        buf.put_u64_le(self.index);
        buf.put_u64_le(self.term);
        buf.put_slice(&self.data);
        let crc = checksum(&buf[start..]);
        buf[start + 4..start + HEAD].copy_from_slice(&crc.to_le_bytes());
    }

    /// What a record at the start of the bytes, if there is one, says was
    /// synced before it. Cheap, since a search asks it at every byte.
    pub(crate) fn claimed_synced(bytes: &[u8]) -> Option<u64> {
        bytes.get(HEAD..HEAD + 8).map(|mut b| b.get_u64_le())
    }

    /// The record at the start of the bytes and its length, if one is whole.
    pub(crate) fn decode(bytes: &Bytes) -> Option<(Frame, usize)> {
        let mut head = bytes.get(..HEAD + FIXED)?;
        let length = usize::try_from(head.get_u32_le()).ok()?;
        let crc = head.get_u32_le();
        if !(FIXED..=FIXED + MAX_DATA).contains(&length) {
            return None;
        }
        let whole = bytes.get(..HEAD + length)?;
        if checksum(whole) != crc {
            return None;
        }
        let frame = Frame {
            synced: head.get_u64_le(),
            kind: FrameKind::from_byte(head.get_u8()),
            index: head.get_u64_le(),
            term: head.get_u64_le(),
            data: bytes.slice(HEAD + FIXED..HEAD + length),
        };
        Some((frame, HEAD + length))
    }
}

fn checksum(record: &[u8]) -> u32 {
    let crc = crc32c::crc32c(&record[..4]);
    crc32c::crc32c_append(crc, &record[HEAD..])
}
