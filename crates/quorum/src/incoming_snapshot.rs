//! A partially received snapshot.

use crate::Members;

/// A snapshot of which some chunks have been received.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) members: Members,
    pub(crate) data: Vec<u8>,
}
