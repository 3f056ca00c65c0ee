//! Log records.

use bytes::Bytes;

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position in the log.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// Kind of `data`, defined by the user of the log.
    pub kind: u8,
    /// Content of the record.
    pub data: Bytes,
}
