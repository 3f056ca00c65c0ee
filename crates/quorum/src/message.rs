//! Messages between replicas.

use crate::{DiskId, Entry, Members, Peer};
use bytes::Bytes;

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Disk of the sender.
    pub from: DiskId,
    /// Disk of the receiver. A replica drops messages addressed to another
    /// disk.
    pub to: DiskId,
    /// Term of the sender; for a pre-vote, the term it would be a candidate in.
    pub term: u64,
    /// Content of the message.
    pub body: MessageBody,
}

/// Content of a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageBody {
    /// Requests a vote (section 3.4) or a pre-vote (section 9.6).
    VoteRequest {
        /// Whether this is a pre-vote, which changes no term.
        pre_vote: bool,
        /// Index of the last entry of the candidate.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Whether this is the reply to a pre-vote.
        pre_vote: bool,
        /// Whether the candidate gets the vote.
        granted: bool,
    },
    /// Appends entries; without entries it is a heartbeat (section 3.5).
    Append {
        /// Index of the entry before the first one in `entries`.
        previous_index: u64,
        /// Term of that entry.
        previous_term: u64,
        /// The leader's commit index.
        commit: u64,
        /// Heartbeat round, echoed in the reply.
        round: u64,
        /// Entries to append.
        entries: Vec<Entry>,
    },
    /// Reply to an append.
    AppendReply {
        /// Whether the entries are in the log and synced.
        accepted: bool,
        /// If accepted, the last index known to match the leader's log. If
        /// rejected, the last index that may match.
        index: u64,
        /// Heartbeat round of the append.
        round: u64,
    },
    /// Sends one chunk of a snapshot (section 5).
    InstallSnapshot {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Term of that entry.
        term: u64,
        /// Members in force at that entry.
        members: Members,
        /// Byte offset of `chunk` in the snapshot.
        offset: u64,
        /// Data of this chunk.
        chunk: Bytes,
        /// Whether this is the last chunk.
        done: bool,
        /// Heartbeat round, echoed in the reply.
        round: u64,
    },
    /// Reply to a snapshot chunk.
    SnapshotReply {
        /// Index of the snapshot.
        index: u64,
        /// Number of bytes received so far.
        offset: u64,
        /// Whether the snapshot is installed and synced.
        done: bool,
        /// Heartbeat round of the chunk.
        round: u64,
    },
    /// A replica without state requests to join the cluster. Another replica
    /// may forward the request to the leader.
    Join {
        /// Disk of the replica.
        id: DiskId,
        /// Name and address of the replica.
        peer: Peer,
    },
}

/// Exclusive upper bound of the terms, indices and rounds that are accepted. At
/// a million per second it is reached in thirty thousand years; larger values
/// could overflow in sums.
const MAX_NUMBER: u64 = 1 << 60;

impl Message {
    /// Returns whether both are append replies that differ at most in their
    /// round.
    pub(crate) fn is_same_append_reply(&self, other: &Message) -> bool {
        let reply = |message: &Message| match message.body {
            MessageBody::AppendReply {
                accepted, index, ..
            } => Some((message.to, message.term, accepted, index)),
            _ => None,
        };
        reply(self).is_some() && reply(self) == reply(other)
    }

    /// Returns whether all numbers are in the accepted range. Other values come
    /// from a faulty sender and must not crash the receiving process.
    pub(crate) fn is_plausible(&self) -> bool {
        let numbers = match &self.body {
            MessageBody::VoteRequest {
                last_index,
                last_term,
                ..
            } => [*last_index, *last_term, 0],
            MessageBody::Append {
                previous_index,
                commit,
                round,
                ..
            } => [*previous_index, *commit, *round],
            MessageBody::AppendReply { index, round, .. }
            | MessageBody::SnapshotReply { index, round, .. } => [*index, *round, 0],
            MessageBody::InstallSnapshot {
                index, term, round, ..
            } => [*index, *term, *round],
            MessageBody::VoteReply { .. } | MessageBody::Join { .. } => [0, 0, 0],
        };
        self.term < MAX_NUMBER && numbers.iter().all(|number| *number < MAX_NUMBER)
    }
}
