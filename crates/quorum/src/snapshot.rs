//! A snapshot of the state machine.

use crate::Members;
use bytes::Bytes;

/// A snapshot of the state machine and of the members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Last entry that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members at that entry.
    pub members: Members,
    /// The state machine's own bytes.
    pub data: Bytes,
}

impl Snapshot {
    /// The snapshot that the first replica of a new cluster starts from.
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
