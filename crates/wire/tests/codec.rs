//! Frames as bytes.

use bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};
use wire::FrameCodec;
use wire::proto::frame::Body;
use wire::proto::{AnswerChunk, Frame};

const MAX: usize = 1024;

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
fn encode_one_behind_another() {
    let mut codec = FrameCodec::new(MAX);
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
fn encode_beyond_max() {
    // A frame that the other side would refuse is not sent at all: half of it
    // in the buffer would make nonsense of what follows.
    let mut codec = FrameCodec::new(MAX);
    let mut buf = BytesMut::new();
    codec.encode(chunk(1, 10), &mut buf).unwrap();
    let before = buf.clone();
    assert!(codec.encode(chunk(2, MAX), &mut buf).is_err());
    assert_eq!(buf, before);
}
