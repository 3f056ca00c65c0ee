//! One record.

use crate::{Claimed, Digest, Holder, Unknown, Verdict};

/// Fixed part of a record, with the nodes of both maps, in bytes.
const OVERHEAD: usize = 256;

/// Reasons are cut to this many bytes, so that they can't fill the ledger.
const MAX_REASON: usize = 256;

/// What the ledger keeps for one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Record {
    pub digest: Digest,
    pub holder: Holder,
    pub state: State,
}

/// How far a call has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// The attempt may run; from that time on its outcome is unknown.
    Running { until_ms: u64 },
    /// The attempt ended; the record goes at that time.
    Ended { verdict: Verdict, until_ms: u64 },
    /// Nobody proved that the attempt ended: it may be written to its target
    /// at any later time, by an agent or a host that stood still. The record
    /// goes by no time, or a resend would run the call beside it.
    Unproved { reason: String, since_ms: u64 },
}

impl State {
    /// When something falls due by time alone.
    pub fn due_ms(&self) -> Option<u64> {
        match self {
            State::Running { until_ms } | State::Ended { until_ms, .. } => Some(*until_ms),
            State::Unproved { .. } => None,
        }
    }
}

impl Record {
    pub fn standing(&self) -> Claimed {
        match &self.state {
            State::Running { .. } => Claimed::Running(self.holder.clone()),
            State::Ended { verdict, .. } => match verdict {
                Verdict::Answer(answer) => Claimed::Finished(answer.clone()),
                Verdict::Unknown(reason) => Claimed::Unknown(Unknown {
                    reason: reason.clone(),
                    holder: None,
                }),
            },
            State::Unproved { reason, .. } => Claimed::Unknown(Unknown {
                reason: reason.clone(),
                holder: Some(self.holder.clone()),
            }),
        }
    }

    /// Whether a result of the attempt is still taken: any while it runs, and
    /// an answer, which proves that it ended, at any time.
    pub fn takes(&self, verdict: &Verdict) -> bool {
        match self.state {
            State::Running { .. } => true,
            State::Unproved { .. } => matches!(verdict, Verdict::Answer(_)),
            State::Ended { .. } => false,
        }
    }

    /// Bytes of the record beside its key; a running one counts with the
    /// room that its answer may need, or a finish could find no room.
    pub fn size(&self, max_answer: usize) -> usize {
        let state = match &self.state {
            State::Running { .. } => max_answer.max(MAX_REASON),
            State::Ended { verdict, .. } => match verdict {
                Verdict::Answer(answer) => answer.size(),
                Verdict::Unknown(reason) => reason.len(),
            },
            State::Unproved { reason, .. } => reason.len(),
        };
        OVERHEAD + self.holder.target.len() + state
    }
}

/// The state that a result leads to, within the bounds of a record.
pub(crate) fn ended(verdict: Verdict, max_answer: usize, now_ms: u64, keep_ms: u64) -> State {
    let verdict = match verdict {
        Verdict::Answer(answer) if answer.size() > max_answer => Verdict::Unknown(format!(
            "the call ran, but its answer of {} bytes is too large to keep",
            answer.size()
        )),
        answer @ Verdict::Answer(_) => answer,
        Verdict::Unknown(mut reason) => {
            reason.truncate(reason.floor_char_boundary(MAX_REASON));
            return State::Unproved {
                reason,
                since_ms: now_ms,
            };
        }
    };
    State::Ended {
        verdict,
        until_ms: now_ms.saturating_add(keep_ms),
    }
}
