//! Identity of a replica.

use std::fmt;

/// Random identity assigned to a disk when it was formatted.
///
/// Voters are identified by their disk and not by their host. A host whose disk
/// was replaced has lost its votes and log entries; if it kept its old
/// identity, a majority could be formed that lacks an acknowledged entry.
///
/// ```
/// assert_eq!(quorum::DiskId(0xab).to_string(), "00000000000000ab");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DiskId(pub u64);

impl fmt::Display for DiskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
