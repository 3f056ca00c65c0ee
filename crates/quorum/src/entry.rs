//! An entry of the replicated log.

use crate::Members;
use bytes::Bytes;

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Place in the log, from 1.
    pub index: u64,
    /// Term of the leader that ordered it.
    pub term: u64,
    /// What it says.
    pub body: EntryBody,
}

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryBody {
    /// A command for the state machine.
    Command(Bytes),
    /// The first entry of a leader: committing it commits all before it
    /// (section 3.6.2).
    Noop,
    /// The members from here on.
    Members(Members),
}

impl Entry {
    /// Bytes that the entry adds to a message, about.
    pub(crate) fn size(&self) -> usize {
        const OVERHEAD: usize = 32;
        match &self.body {
            EntryBody::Command(data) => data.len() + OVERHEAD,
            EntryBody::Noop | EntryBody::Members(_) => OVERHEAD,
        }
    }
}
