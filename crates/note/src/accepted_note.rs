//! What is remembered of an accepted note.

use crate::Digest;

/// What is remembered of an accepted note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedNote {
    /// Digest of its content.
    pub digest: Digest,
    /// Who sent it.
    pub operator: String,
}
