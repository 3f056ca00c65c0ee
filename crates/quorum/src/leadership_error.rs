//! Why a replica takes no proposal.

use std::fmt;

/// Why a replica takes no proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipError {
    /// Another replica leads, or none.
    NotLeader,
    /// It leads, but no majority has answered it lately: another may lead.
    NoLease,
}

impl fmt::Display for LeadershipError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LeadershipError::NotLeader => "this replica does not lead",
            LeadershipError::NoLease => "no majority of replicas answers",
        })
    }
}

impl std::error::Error for LeadershipError {}
