//! The identity of a voter.

use std::fmt;

/// Random identity that a disk got when it was formatted.
///
/// Voters are known by their disk and not by their host: a host whose disk
/// was replaced has forgotten what it promised, and under its old identity it
/// could let a majority forget an acknowledged entry.
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
