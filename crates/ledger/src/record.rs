//! Ledger records.

use crate::{CallOutcome, Digest, Holder, KeyStatus, UnknownOutcome};

/// Size of the fixed part of a record in bytes, including its nodes in both
/// maps.
const OVERHEAD_BYTES: usize = 256;

/// Longer reasons are truncated, so that they cannot fill the ledger.
const MAX_REASON_BYTES: usize = 256;

/// Ledger entry of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Record {
    pub digest: Digest,
    pub holder: Holder,
    pub state: State,
}

/// State of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// The attempt may run. At `until_ms` its outcome becomes unknown.
    Running { until_ms: u64 },
    /// The attempt ended. The record expires at `until_ms`.
    Ended { outcome: CallOutcome, until_ms: u64 },
    /// The attempt is not proved to have ended. A paused agent or host may
    /// still send it to its target at any later time. The record does not
    /// expire, because a resend could otherwise run the call a second time.
    Unproved { reason: String, since_ms: u64 },
}

impl State {
    /// Returns when the state changes or the record expires, if it does by time
    /// alone.
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

    /// Returns whether an outcome of the attempt is still accepted: any outcome
    /// while it runs, and afterwards, while it is unproved, only an answer,
    /// which proves that it ended.
    pub fn accepts(&self, outcome: &CallOutcome) -> bool {
        match self.state {
            State::Running { .. } => true,
            State::Unproved { .. } => matches!(outcome, CallOutcome::Answer(_)),
            State::Ended { .. } => false,
        }
    }

    /// Returns the size of the record without its key, in bytes. A running
    /// record includes space for the largest answer, so that a finish always
    /// fits.
    pub fn size(&self, max_answer_bytes: usize) -> usize {
        let state = match &self.state {
            State::Running { .. } => max_answer_bytes.max(MAX_REASON_BYTES),
            State::Ended { outcome, .. } => match outcome {
                CallOutcome::Answer(answer) => answer.size(),
                CallOutcome::Unknown(reason) => reason.len(),
            },
            State::Unproved { reason, .. } => reason.len(),
        };
        OVERHEAD_BYTES + self.holder.target.len() + state
    }
}

/// Returns the state for an outcome, within the size limits of a record.
pub(crate) fn ended_state(
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
            reason.truncate(reason.floor_char_boundary(MAX_REASON_BYTES));
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
