//! Encoding of messages outside of links.

use crate::error::{Error, Result};
use crate::proto::Frame;
use crate::proto::frame::Body;
use bytes::Bytes;
use prost::Message;

/// Encodes a message, so that other processes can forward it without decoding it.
///
/// ```
/// use wire::proto::{SightingsTaken, frame::Body};
///
/// let body = Body::SightingsTaken(SightingsTaken {});
/// assert_eq!(wire::decode_body(wire::encode_body(body.clone())).unwrap(), body);
/// ```
#[must_use]
pub fn encode_body(body: Body) -> Bytes {
    let frame = Frame {
        body: Some(body),
        ..Frame::default()
    };
    frame.encode_to_vec().into()
}

/// Decodes a message encoded by [`encode_body`].
///
/// # Errors
///
/// Fails if the bytes are malformed or hold a message unknown to this version.
pub fn decode_body(encoded: Bytes) -> Result<Body> {
    let frame = Frame::decode(encoded).map_err(|e| Error::Protocol(e.to_string()))?;
    let unknown = || Error::Protocol("unknown message".to_owned());
    frame.body.ok_or_else(unknown)
}
