//! Snapshots of the state machine.

use crate::Members;
use bytes::Bytes;

/// A snapshot of the state machine and of the members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last entry that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members in force at that entry.
    pub members: Members,
    /// Encoded state of the state machine.
    pub data: Bytes,
}

impl Snapshot {
    /// Creates the snapshot that the first replica of a new cluster starts
    /// from.
    ///
    /// ```
    /// let snapshot = quorum::Snapshot::initial(quorum::Members::default());
    /// assert_eq!(snapshot.index, 0);
    /// ```
    #[must_use]
    pub fn initial(members: Members) -> Snapshot {
        Snapshot {
            members,
            ..Snapshot::default()
        }
    }
}
