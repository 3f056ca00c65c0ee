//! An entry of the replicated log.

use crate::Members;
use bytes::Bytes;

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// Content of the entry.
    pub body: EntryBody,
}

/// Content of an [`Entry`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryBody {
    /// A command for the state machine.
    Command(Bytes),
    /// First entry of a leader. Committing it commits all entries before it
    /// (section 3.6.2).
    Noop,
    /// The members in force from this entry on.
    Members(Members),
}

impl Entry {
    /// Approximate size of the entry in a message, in bytes.
    pub(crate) fn size(&self) -> usize {
        self.body.size()
    }
}

impl EntryBody {
    /// Approximate size of an entry with this content in a message, in bytes.
    pub(crate) fn size(&self) -> usize {
        const OVERHEAD: usize = 32;
        match self {
            EntryBody::Command(data) => data.len() + OVERHEAD,
            EntryBody::Noop | EntryBody::Members(_) => OVERHEAD,
        }
    }
}
