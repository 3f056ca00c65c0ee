//! Codec for length-delimited frames.

use crate::error::{Error, Result};
use crate::proto::Frame;
use bytes::{BufMut, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Size of the length prefix of a frame, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Encodes and decodes [`Frame`]s on a byte stream.
///
/// Invalid bytes result in an error, never in a panic: any process may connect to a
/// link's port.
#[derive(Debug)]
pub struct FrameCodec {
    framing: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Creates a codec that rejects frames larger than `max_frame_bytes`.
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
    pub fn new(max_frame_bytes: usize) -> Self {
        let framing = LengthDelimitedCodec::builder()
            .max_frame_length(max_frame_bytes)
            .new_codec();
        FrameCodec { framing }
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Frame>> {
        let Some(bytes) = self.framing.decode(buf)? else {
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
        let max = self.framing.max_frame_length();
        let prefix = u32::try_from(length).ok().filter(|_| length <= max);
        let Some(prefix) = prefix else {
            let reason = format!("frame of {length} bytes exceeds the limit of {max} bytes");
            return Err(Error::Protocol(reason));
        };
        // Encode directly into the buffer: `LengthDelimitedCodec` would copy the frame.
        buf.reserve(LENGTH_PREFIX_BYTES + length);
        buf.put_u32(prefix);
        frame.encode_raw(buf);
        Ok(())
    }
}
