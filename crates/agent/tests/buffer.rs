//! Answer buffers under any order of reads, progress and attachments.

use agent::{Buffer, Retention};
use bytes::Bytes;
use quickcheck::{Gen, QuickCheck};

#[test]
fn read_after_attach() {
    // An entry dies after it has read all of a reservation's answer. Another
    // one attaches from the beginning and must find every byte.
    let mut buffer = Buffer::new(Retention::UntilRecorded, 8, 100);
    buffer.push("reserved lot 4711".into());
    buffer.acknowledge(17);
    buffer.attach(0);
    assert_eq!(buffer.read(0, 64).unwrap(), "reserved");
}

#[test]
fn read_dropped_bytes() {
    // A link asks for bytes that another one has already passed on. They are
    // gone; giving others in their place would damage the answer.
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
    // The caller reads slowly. The window holds what is sent, and the target
    // waits once the buffer is full, so memory stays bounded.
    let mut buffer = Buffer::new(Retention::UntilAcknowledged, 4, 8);
    buffer.push("abcdefgh".into());
    assert!(!buffer.has_room());
    assert_eq!(buffer.read(0, 64).unwrap(), "abcd");
    assert!(buffer.read(4, 64).is_none());
    buffer.acknowledge(8);
    assert!(buffer.has_room());
}

#[test]
fn pass_beyond_length() {
    // A progress that claims more than was sent must not open the window for
    // bytes that nobody has read.
    let mut buffer = Buffer::new(Retention::UntilAcknowledged, 4, 100);
    buffer.push("abcd".into());
    buffer.acknowledge(u64::MAX);
    buffer.push("efghijkl".into());
    assert_eq!(buffer.read(4, 64).unwrap(), "efgh");
    assert!(buffer.read(u64::MAX, 64).is_none());
}

/// Reads all through any parts, chunk sizes and re-attachments.
fn all_read(parts: Vec<Vec<u8>>, window: u8, cuts: Vec<u8>) -> bool {
    let whole = parts.concat();
    let mut buffer = Buffer::new(Retention::UntilAcknowledged, window.into(), 1 << 20);
    for part in parts {
        buffer.push(Bytes::from(part));
    }
    let mut got: Vec<u8> = Vec::new();
    let mut cuts = cuts.into_iter().cycle();
    while got.len() < whole.len() {
        let most = usize::from(cuts.next().unwrap_or(9)).max(1);
        let Some(bytes) = buffer.read(got.len() as u64, most) else {
            return false;
        };
        got.extend_from_slice(&bytes);
        buffer.acknowledge(got.len() as u64);
        buffer.attach(got.len() as u64);
    }
    got == whole && buffer.crc32c() == crc32c::crc32c(&whole) && buffer.held_bytes() == 0
}

#[test]
fn read_any_parts() {
    // Parts and chunks are cut anywhere; each byte is read once, in order.
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 5))
        .tests(2_000)
        .quickcheck(all_read as fn(Vec<Vec<u8>>, u8, Vec<u8>) -> bool);
}
