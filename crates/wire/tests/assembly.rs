//! Answers put together from frames that are late, doubled, re-ordered,
//! foreign or damaged.

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

fn run(frames: Vec<Body>) -> (Vec<u8>, Option<AnswerPart>) {
    let mut assembly = AnswerAssembler::new("mine".into(), WINDOW);
    let mut body = Vec::new();
    let mut last = None;
    for piece in frames.into_iter().flat_map(|frame| assembly.push(frame)) {
        match piece {
            AnswerPart::Head(_) => assert!(body.is_empty() && last.is_none()),
            AnswerPart::Data(data) => body.extend_from_slice(&data),
            piece => assert!(last.replace(piece).is_none()),
        }
    }
    (body, last)
}

#[test]
fn take_former_attempt() {
    // The frames of an attempt that was given up arrive after the next one
    // started. The caller would find another answer mixed into its own.
    let (body, last) = run(vec![
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
fn take_overlapping_chunks() {
    // A fresh link continues at an offset in the middle of a chunk that the
    // old link delivers as well. No byte may come twice.
    let (body, last) = run(vec![
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
fn take_end_before_chunk() {
    // The end overtakes the last chunk on a fresh link. The answer isn't
    // whole until every byte is here.
    let mut frames = vec![head("mine"), end("mine", End::Whole, b"ab")];
    assert_eq!(run(frames.clone()), (Vec::new(), None));
    frames.push(chunk("mine", 0, b"ab"));
    assert!(matches!(run(frames).1, Some(AnswerPart::Complete(_))));
}

#[test]
fn take_damaged_bytes() {
    // A byte is changed on the way. The caller must see a broken answer,
    // not a proper end.
    let (_, last) = run(vec![
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
fn take_longer_than_end() {
    // The agent counted fewer bytes than arrived; something doubled them.
    let (_, last) = run(vec![
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
fn take_lost_target() {
    // The target is lost in mid-answer. What came stays, the end is broken.
    let (body, last) = run(vec![
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
fn take_beyond_window() {
    // Chunks that never fit their gap must not fill the memory.
    let mut assembly = AnswerAssembler::new("mine".into(), WINDOW);
    assembly.push(head("mine"));
    for at in 0..100 {
        assembly.push(chunk("mine", 1 + at * 1000, &[0; 1000]));
    }
    assert_eq!(assembly.dropped(), 96);
    assert!(assembly.push(chunk("mine", u64::MAX, b"xy")).is_empty());
    assert!(assembly.push(Body::Beat(Beat { sent: 1 })).is_empty());
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

/// Chunks of any place and length in any order, the end among them, and then
/// one attachment anew from the offset reached.
fn whole_after_any_order(schedule: Schedule) -> bool {
    let Schedule {
        body,
        chunks,
        end_at,
    } = schedule;
    let mut assembly = AnswerAssembler::new("mine".into(), WINDOW);
    let mut got = Vec::new();
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
    let mut feed = |assembly: &mut AnswerAssembler, frame| {
        for piece in assembly.push(frame) {
            match piece {
                AnswerPart::Head(_) => {}
                AnswerPart::Data(data) => got.extend_from_slice(&data),
                piece => last = Some(piece),
            }
        }
    };
    for frame in frames {
        feed(&mut assembly, frame);
    }
    let offset = usize::try_from(assembly.offset()).unwrap_or(usize::MAX);
    feed(&mut assembly, chunk("mine", offset as u64, &body[offset..]));
    feed(&mut assembly, end("mine", End::Whole, &body));
    got == body && matches!(last, Some(AnswerPart::Complete(_)))
}

#[test]
fn take_any_order() {
    // Frames of an old and a fresh link arrive in any order, cut anywhere.
    // The caller sees its answer once, byte by byte.
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 77))
        .tests(3_000)
        .quickcheck(whole_after_any_order as fn(Schedule) -> bool);
}
