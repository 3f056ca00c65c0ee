//! Answer buffers under any order of reads, progress and attachments.

use agent::{Buffer, Retention};
use bytes::Bytes;
use quickcheck::{Gen, QuickCheck};

#[test]
fn read_after_attach() {
    // An entry dies after it has read the whole answer to a reservation. Another
    // entry attaches at the beginning and must get every byte.
    let mut buffer = Buffer::new(Retention::UntilRecorded, 8, 100);
    buffer.push("reserved lot 4711".into());
    buffer.acknowledge(17);
    buffer.attach(0);
    assert_eq!(buffer.read(0, 64).unwrap(), "reserved");
}

#[test]
fn read_dropped_bytes() {
    // A link requests bytes that were acknowledged on another link and dropped. No
    // other bytes may be returned in their place.
    let mut buffer = Buffer::new(Retention::UntilAcknowledged, 8, 100);
    buffer.push("abcd".into());
    buffer.push("efgh".into());
    buffer.acknowledge(6);
    assert!(!buffer.holds(3));
    assert!(buffer.read(3, 8).is_none());
    assert_eq!(buffer.read(4, 8).unwrap(), "efgh");
}

#[test]
fn push_slow_reader() {
    // The caller reads slowly. The window bounds what is sent, and the target waits
    // once the buffer is full, so that memory stays bounded.
    let mut buffer = Buffer::new(Retention::UntilAcknowledged, 4, 8);
    buffer.push("abcdefgh".into());
    assert!(!buffer.has_room());
    assert_eq!(buffer.read(0, 64).unwrap(), "abcd");
    assert!(buffer.read(4, 64).is_none());
    buffer.acknowledge(8);
    assert!(buffer.has_room());
}

#[test]
fn acknowledge_beyond_length() {
    // A progress message that acknowledges more than was sent must not open the
    // window for bytes that haven't been read.
    let mut buffer = Buffer::new(Retention::UntilAcknowledged, 4, 100);
    buffer.push("abcd".into());
    buffer.acknowledge(u64::MAX);
    buffer.push("efghijkl".into());
    assert_eq!(buffer.read(4, 64).unwrap(), "efgh");
    assert!(buffer.read(u64::MAX, 64).is_none());
}

/// Whether a buffer returns all bytes in order, with the given chunks, read sizes
/// and re-attachments.
fn reads_all(chunks: Vec<Vec<u8>>, window: u8, sizes: Vec<u8>) -> bool {
    let whole = chunks.concat();
    let mut buffer = Buffer::new(Retention::UntilAcknowledged, window.into(), 1 << 20);
    for chunk in chunks {
        buffer.push(Bytes::from(chunk));
    }
    let mut got: Vec<u8> = Vec::new();
    let mut sizes = sizes.into_iter().cycle();
    while got.len() < whole.len() {
        let max = usize::from(sizes.next().unwrap_or(9)).max(1);
        let Some(bytes) = buffer.read(got.len() as u64, max) else {
            return false;
        };
        got.extend_from_slice(&bytes);
        buffer.acknowledge(got.len() as u64);
        buffer.attach(got.len() as u64);
    }
    got == whole && buffer.crc32c() == crc32c::crc32c(&whole) && buffer.held_bytes() == 0
}

#[test]
fn read_arbitrary_chunks() {
    // With any chunks and read sizes, each byte is read once and in order.
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 5))
        .tests(2_000)
        .quickcheck(reads_all as fn(Vec<Vec<u8>>, u8, Vec<u8>) -> bool);
}
