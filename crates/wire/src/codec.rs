//! Length-delimited frames on a byte stream.

use crate::error::{Error, Result};
use crate::proto::Frame;
use bytes::{BufMut, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Bytes of the length before each frame.
const HEAD_BYTES: usize = 4;

/// Turns a byte stream into [`Frame`]s and back.
///
/// Bytes that are no frame are an error, never a panic: a process that is not ours
/// may connect to a link's port.
#[derive(Debug)]
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
}

impl FrameCodec {
    /// A codec that refuses frames of more than `max_frame` bytes.
    ///
    /// ```
    /// use bytes::BytesMut;
    /// use tokio_util::codec::{Decoder, Encoder};
    /// use wire::proto::Frame;
    ///
    /// let mut codec = wire::FrameCodec::new(1024);
    /// let mut buf = BytesMut::new();
    /// codec.encode(Frame { call: 3, ..Frame::default() }, &mut buf).unwrap();
    /// assert_eq!(codec.decode(&mut buf).unwrap().unwrap().call, 3);
    /// ```
    #[must_use]
    pub fn new(max_frame: usize) -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(max_frame)
            .new_codec();
        FrameCodec { lengths }
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Frame>> {
        let Some(bytes) = self.lengths.decode(buf)? else {
            return Ok(None);
        };
        let frame = Frame::decode(bytes.freeze());
        frame
            .map(Some)
            .map_err(|err| Error::Protocol(err.to_string()))
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, buf: &mut BytesMut) -> Result<()> {
        let length = frame.encoded_len();
        let head = u32::try_from(length).ok();
        let fits = head.filter(|_| length <= self.lengths.max_frame_length());
        let Some(head) = fits else {
            return Err(Error::Protocol(format!("a frame of {length} bytes")));
        };
        // Straight into the buffer: a frame of its own would be copied.
        buf.reserve(HEAD_BYTES + length);
        buf.put_u32(head);
        frame.encode_raw(buf);
        Ok(())
    }
}
