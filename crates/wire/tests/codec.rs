//! Encoding and decoding of frames.

use bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};
use wire::FrameCodec;
use wire::proto::frame::Body;
use wire::proto::{AnswerChunk, Frame};

const MAX_FRAME_BYTES: usize = 1024;

fn chunk(offset: u64, length: usize) -> Frame {
    let chunk = AnswerChunk {
        attempt: Bytes::from_static(b"attempt"),
        offset,
        data: vec![7; length].into(),
    };
    Frame {
        body: Some(Body::AnswerChunk(chunk)),
        ..Frame::default()
    }
}

#[test]
fn encode_consecutive_frames() {
    let mut codec = FrameCodec::new(MAX_FRAME_BYTES);
    let mut buf = BytesMut::new();
    let frames = [chunk(1, 0), Frame::default(), chunk(2, 900)];
    for frame in &frames {
        codec.encode(frame.clone(), &mut buf).unwrap();
    }
    for frame in frames {
        assert_eq!(codec.decode(&mut buf).unwrap(), Some(frame));
    }
    assert_eq!(codec.decode(&mut buf).unwrap(), None);
    assert!(buf.is_empty());
}

#[test]
fn encode_rejects_oversized_frame() {
    // A frame beyond the limit must not be written in part: the peer could not decode any
    // of the frames that follow.
    let mut codec = FrameCodec::new(MAX_FRAME_BYTES);
    let mut buf = BytesMut::new();
    codec.encode(chunk(1, 10), &mut buf).unwrap();
    let before = buf.clone();
    assert!(codec.encode(chunk(2, MAX_FRAME_BYTES), &mut buf).is_err());
    assert_eq!(buf, before);
}
