//! Why a replica takes no proposal.

use std::fmt;

/// Why a replica takes no proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Another replica leads, or none.
    NotLeader,
    /// It leads, but no majority has answered it lately: another may lead.
    NoLease,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refused::NotLeader => "this replica does not lead",
            Refused::NoLease => "no majority of replicas answers",
        })
    }
}

impl std::error::Error for Refused {}
