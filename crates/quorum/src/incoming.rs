//! A snapshot that is being received.

use crate::Members;

/// A snapshot that is being received, piece by piece.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) members: Members,
    pub(crate) data: Vec<u8>,
}
