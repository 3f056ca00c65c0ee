//! Record of an accepted note.

use crate::Digest;

/// Record of an accepted note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedNote {
    /// Digest of the note's canonical JSON.
    pub digest: Digest,
    /// Name of the operator who submitted the note.
    pub operator: String,
}
