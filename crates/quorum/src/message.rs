//! What replicas say to each other.

use crate::{DiskId, Entry, Members, Peer};
use bytes::Bytes;

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Disk of the sender.
    pub from: DiskId,
    /// Disk that it is meant for; any other drops it.
    pub to: DiskId,
    /// Term of the sender; of a pre-vote, the term it would campaign in.
    pub term: u64,
    /// What it says.
    pub body: MessageBody,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageBody {
    /// Asks for a vote (section 3.4), or whether one would be given (9.6).
    VoteRequest {
        /// Only asks; no term changes.
        pre_vote: bool,
        /// Last entry of the candidate.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answers a vote request.
    VoteReply {
        /// Answers a pre-vote.
        pre_vote: bool,
        /// The vote is the candidate's.
        granted: bool,
    },
    /// Entries, or none as a heartbeat (section 3.5).
    Append {
        /// Entry before the first of `entries`.
        previous_index: u64,
        /// Term of that entry.
        previous_term: u64,
        /// The leader's commit index.
        commit: u64,
        /// Heartbeat round, echoed by the reply.
        round: u64,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Answers an append.
    AppendReply {
        /// The entries are in the log, synced.
        accepted: bool,
        /// Accepted: last index known to be the leader's. Refused: the last
        /// index that may be.
        index: u64,
        /// Round of the append.
        round: u64,
    },
    /// A piece of a snapshot (section 5).
    InstallSnapshot {
        /// Last entry that the snapshot covers.
        index: u64,
        /// Term of that entry.
        term: u64,
        /// Members at that entry.
        members: Members,
        /// Place of `chunk` in the snapshot.
        offset: u64,
        /// Bytes of the snapshot.
        chunk: Bytes,
        /// It is the last piece.
        done: bool,
        /// Heartbeat round, echoed by the reply.
        round: u64,
    },
    /// Answers a piece of a snapshot.
    SnapshotReply {
        /// Which snapshot.
        index: u64,
        /// Bytes held.
        offset: u64,
        /// The snapshot is installed, synced.
        done: bool,
        /// Round of the piece.
        round: u64,
    },
    /// A blank replica asks to be taken in.
    Join {
        /// Its name and address.
        peer: Peer,
    },
}

/// Largest term, index or round that is taken for one. At a million a second
/// it is reached in thirty thousand years; beyond it sums could overflow.
const MOST: u64 = 1 << 60;

impl Message {
    /// Whether both answer appends in the same way, to different rounds.
    pub(crate) fn says_same_but_round(&self, other: &Message) -> bool {
        let answer = |message: &Message| match message.body {
            MessageBody::AppendReply {
                accepted, index, ..
            } => Some((message.to, message.term, accepted, index)),
            _ => None,
        };
        answer(self).is_some() && answer(self) == answer(other)
    }

    /// Whether all numbers are such as a replica may send. Others come from a
    /// fault of the sender, and must not end the process that receives them.
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
        self.term < MOST && numbers.iter().all(|number| *number < MOST)
    }
}
