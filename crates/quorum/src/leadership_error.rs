//! Errors of requests that need a leader.

use std::fmt;

/// Reason why a replica rejects a proposal or a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipError {
    /// This replica is not the leader.
    NotLeader,
    /// This replica leads, but no majority has answered within the lease, so
    /// another replica may have been elected.
    NoLease,
    /// This replica leads, but too few voters have joined; see
    /// [`Node::accepts_commands`](crate::Node::accepts_commands).
    TooFewVoters,
    /// This replica leads, but the entries that are not committed yet are too large; see
    /// [`Config::max_uncommitted_bytes`](crate::Config::max_uncommitted_bytes).
    TooMuchUncommitted,
}

impl fmt::Display for LeadershipError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LeadershipError::NotLeader => "this replica does not lead",
            LeadershipError::NoLease => "no majority of replicas answers",
            LeadershipError::TooFewVoters => "too few replicas have joined yet",
            LeadershipError::TooMuchUncommitted => "too many bytes wait to be committed",
        })
    }
}

impl std::error::Error for LeadershipError {}
