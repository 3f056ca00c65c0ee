//! One record.

use crate::{CallOutcome, Digest, Holder, KeyStatus, UnknownOutcome};

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
    Ended { outcome: CallOutcome, until_ms: u64 },
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
    pub fn status(&self) -> KeyStatus {
        match &self.state {
            State::Running { .. } => KeyStatus::Running(self.holder.clone()),
            State::Ended { outcome, .. } => match outcome {
                CallOutcome::Answer(answer) => KeyStatus::Finished(answer.clone()),
                CallOutcome::Unknown(reason) => KeyStatus::Unknown(UnknownOutcome {
                    reason: reason.clone(),
                    holder: None,
                }),
            },
            State::Unproved { reason, .. } => KeyStatus::Unknown(UnknownOutcome {
                reason: reason.clone(),
                holder: Some(self.holder.clone()),
            }),
        }
    }

    /// Whether a result of the attempt is still taken: any while it runs, and
    /// an answer, which proves that it ended, at any time.
    pub fn takes(&self, outcome: &CallOutcome) -> bool {
        match self.state {
            State::Running { .. } => true,
            State::Unproved { .. } => matches!(outcome, CallOutcome::Answer(_)),
            State::Ended { .. } => false,
        }
    }

    /// Bytes of the record beside its key; a running one counts with the
    /// room that its answer may need, or a finish could find no room.
    pub fn size(&self, max_answer_bytes: usize) -> usize {
        let state = match &self.state {
            State::Running { .. } => max_answer_bytes.max(MAX_REASON),
            State::Ended { outcome, .. } => match outcome {
                CallOutcome::Answer(answer) => answer.size(),
                CallOutcome::Unknown(reason) => reason.len(),
            },
            State::Unproved { reason, .. } => reason.len(),
        };
        OVERHEAD + self.holder.target.len() + state
    }
}

/// The state that a result leads to, within the bounds of a record.
pub(crate) fn ended(
    outcome: CallOutcome,
    max_answer_bytes: usize,
    now_ms: u64,
    keep_ms: u64,
) -> State {
    let outcome = match outcome {
        CallOutcome::Answer(answer) if answer.size() > max_answer_bytes => {
            CallOutcome::Unknown(format!(
                "the call ran, but its answer of {} bytes is too large to keep",
                answer.size()
            ))
        }
        answer @ CallOutcome::Answer(_) => answer,
        CallOutcome::Unknown(mut reason) => {
            reason.truncate(reason.floor_char_boundary(MAX_REASON));
            return State::Unproved {
                reason,
                since_ms: now_ms,
            };
        }
    };
    State::Ended {
        outcome,
        until_ms: now_ms.saturating_add(keep_ms),
    }
}
