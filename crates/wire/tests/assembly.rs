//! Assembly of answers from late, duplicate, reordered, foreign and corrupted frames.

use bytes::Bytes;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use wire::proto::frame::Body;
use wire::proto::{AnswerChunk, AnswerEnd, AnswerHead, Beat, End};
use wire::{AnswerAssembler, AnswerFailure, AnswerPart};

const WINDOW: usize = 4096;

fn head(attempt: &'static str) -> Body {
    Body::AnswerHead(AnswerHead {
        attempt: attempt.into(),
        status: 200,
        headers: Vec::new(),
    })
}

fn chunk(attempt: &'static str, offset: u64, data: &[u8]) -> Body {
    Body::AnswerChunk(AnswerChunk {
        attempt: attempt.into(),
        offset,
        data: Bytes::copy_from_slice(data),
    })
}

fn end(attempt: &'static str, end: End, body: &[u8]) -> Body {
    Body::AnswerEnd(AnswerEnd {
        attempt: attempt.into(),
        end: end.into(),
        length: body.len() as u64,
        crc32c: crc32c::crc32c(body),
        ..AnswerEnd::default()
    })
}

fn assemble(frames: Vec<Body>) -> (Vec<u8>, Option<AnswerPart>) {
    let mut assembler = AnswerAssembler::new("mine".into(), WINDOW);
    let mut body = Vec::new();
    let mut last = None;
    for part in frames.into_iter().flat_map(|frame| assembler.push(frame)) {
        match part {
            AnswerPart::Head(_) => assert!(body.is_empty() && last.is_none()),
            AnswerPart::Data(data) => body.extend_from_slice(&data),
            part => assert!(last.replace(part).is_none()),
        }
    }
    (body, last)
}

#[test]
fn push_ignores_former_attempt() {
    // Frames of an abandoned attempt arrive after the next attempt has started. They must
    // not be mixed into its answer.
    let (body, last) = assemble(vec![
        head("former"),
        head("mine"),
        chunk("former", 0, b"theirs"),
        chunk("mine", 0, b"mi"),
        end("former", End::Whole, b"theirs"),
        chunk("mine", 2, b"ne"),
        end("mine", End::Whole, b"mine"),
    ]);
    assert_eq!(body, b"mine");
    assert!(matches!(last, Some(AnswerPart::Complete(_))));
}

#[test]
fn push_merges_overlapping_chunks() {
    // A new link continues at an offset within a chunk that the old link also delivers.
    // No byte may be returned twice.
    let (body, last) = assemble(vec![
        head("mine"),
        chunk("mine", 0, b"abcd"),
        chunk("mine", 2, b"cdef"),
        chunk("mine", 1, b"bc"),
        head("mine"),
        end("mine", End::Whole, b"abcdef"),
    ]);
    assert_eq!(body, b"abcdef");
    assert!(matches!(last, Some(AnswerPart::Complete(_))));
}

#[test]
fn push_end_before_last_chunk() {
    // On a new link, the end arrives before the last chunk. The answer must not be
    // complete before all bytes have arrived.
    let mut frames = vec![head("mine"), end("mine", End::Whole, b"ab")];
    assert_eq!(assemble(frames.clone()), (Vec::new(), None));
    frames.push(chunk("mine", 0, b"ab"));
    assert!(matches!(assemble(frames).1, Some(AnswerPart::Complete(_))));
}

#[test]
fn push_detects_corrupted_bytes() {
    // A byte is changed in transit. The answer must be reported as corrupted, not as
    // complete.
    let (_, last) = assemble(vec![
        head("mine"),
        chunk("mine", 0, b"aXc"),
        end("mine", End::Whole, b"abc"),
    ]);
    assert!(matches!(
        last,
        Some(AnswerPart::Failed(AnswerFailure::Corrupted(_)))
    ));
}

#[test]
fn push_detects_excess_bytes() {
    // More bytes arrived than the agent counted, for example because of duplication.
    let (_, last) = assemble(vec![
        head("mine"),
        chunk("mine", 0, b"abcabc"),
        end("mine", End::Whole, b"abc"),
    ]);
    assert!(matches!(
        last,
        Some(AnswerPart::Failed(AnswerFailure::Corrupted(_)))
    ));
}

#[test]
fn push_reports_lost_target() {
    // The target is lost during the answer. The bytes received so far are returned, and the
    // answer is reported as failed.
    let (body, last) = assemble(vec![
        head("mine"),
        chunk("mine", 0, b"ab"),
        end("mine", End::Lost, b"ab"),
        chunk("mine", 2, b"cd"),
    ]);
    assert_eq!(body, b"ab");
    assert!(matches!(
        last,
        Some(AnswerPart::Failed(AnswerFailure::Aborted(_)))
    ));
}

#[test]
fn push_bounds_buffered_chunks() {
    // Chunks behind a gap that is never filled must not use unlimited memory.
    let mut assembler = AnswerAssembler::new("mine".into(), WINDOW);
    assembler.push(head("mine"));
    for at in 0..100 {
        assembler.push(chunk("mine", 1 + at * 1000, &[0; 1000]));
    }
    assert_eq!(assembler.dropped(), 96);
    assert!(assembler.push(chunk("mine", u64::MAX, b"xy")).is_empty());
    assert!(assembler.push(Body::Beat(Beat { sent: 1 })).is_empty());
}

#[derive(Clone, Debug)]
struct Schedule {
    body: Vec<u8>,
    /// Start and length of each chunk sent, in sending order.
    chunks: Vec<(u8, u8)>,
    end_at: u8,
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        Schedule {
            body: Vec::arbitrary(g),
            chunks: Vec::arbitrary(g),
            end_at: u8::arbitrary(g),
        }
    }
}

/// Pushes chunks of any offset and length in any order, with the end among them, and then
/// continues from the offset reached, as after a new `Attach`.
fn completes_in_any_order(schedule: Schedule) -> bool {
    let Schedule {
        body,
        chunks,
        end_at,
    } = schedule;
    let mut assembler = AnswerAssembler::new("mine".into(), WINDOW);
    let mut received = Vec::new();
    let mut last = None;
    let mut frames = vec![head("mine")];
    for (start, length) in chunks {
        let start = usize::from(start).min(body.len());
        let stop = (start + usize::from(length)).min(body.len());
        frames.push(chunk("mine", start as u64, &body[start..stop]));
        frames.push(chunk("former", 0, b"theirs"));
    }
    let end_at = usize::from(end_at) % (frames.len() + 1);
    frames.insert(end_at, end("mine", End::Whole, &body));
    let mut feed = |assembler: &mut AnswerAssembler, frame| {
        for part in assembler.push(frame) {
            match part {
                AnswerPart::Head(_) => {}
                AnswerPart::Data(data) => received.extend_from_slice(&data),
                part => last = Some(part),
            }
        }
    };
    for frame in frames {
        feed(&mut assembler, frame);
    }
    let offset = usize::try_from(assembler.offset()).unwrap_or(usize::MAX);
    feed(
        &mut assembler,
        chunk("mine", offset as u64, &body[offset..]),
    );
    feed(&mut assembler, end("mine", End::Whole, &body));
    received == body && matches!(last, Some(AnswerPart::Complete(_)))
}

#[test]
fn push_in_any_order() {
    // Frames of an old and a new link arrive in any order and with any chunk boundaries.
    // The caller must receive every byte of its answer exactly once.
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 77))
        .tests(3_000)
        .quickcheck(completes_in_any_order as fn(Schedule) -> bool);
}
