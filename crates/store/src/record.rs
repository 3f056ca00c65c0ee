//! A record of the log.

use bytes::Bytes;

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Place in the log.
    pub index: u64,
    /// Term of the leader that ordered it.
    pub term: u64,
    /// What `data` is, to be told by the user of the log.
    pub kind: u8,
    /// The bytes.
    pub data: Bytes,
}
