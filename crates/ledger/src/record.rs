//! One record.

use crate::{Claimed, Digest, Holder, Verdict};

/// Fixed part of a record, with the nodes of both maps, in bytes.
const OVERHEAD: usize = 256;

/// Reasons are cut to this many bytes, so that they can't fill the ledger.
const MAX_REASON: usize = 256;

/// What the ledger keeps for one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Record {
    pub digest: Digest,
    pub holder: Holder,
    /// When the claim becomes unknown, or the record expires.
    pub due_ms: u64,
    /// `None` while the attempt runs.
    pub verdict: Option<Verdict>,
}

impl Record {
    pub fn standing(&self) -> Claimed {
        match &self.verdict {
            None => Claimed::Running(self.holder.clone()),
            Some(Verdict::Answer(answer)) => Claimed::Finished(answer.clone()),
            Some(Verdict::Unknown(reason)) => Claimed::Unknown(reason.clone()),
        }
    }

    /// Bytes of the record beside its key; a running one counts with the
    /// room that its answer may need, or a finish could find no room.
    pub fn size(&self, max_answer: usize) -> usize {
        let verdict = match &self.verdict {
            None => max_answer.max(MAX_REASON),
            Some(Verdict::Answer(answer)) => answer.size(),
            Some(Verdict::Unknown(reason)) => reason.len(),
        };
        OVERHEAD + self.holder.target.len() + verdict
    }
}

/// Brings a verdict within the bounds of a record.
pub(crate) fn bounded(verdict: Verdict, max_answer: usize) -> Verdict {
    match verdict {
        Verdict::Answer(answer) if answer.size() > max_answer => Verdict::Unknown(format!(
            "the call ran, but its answer of {} bytes is too large to keep",
            answer.size()
        )),
        Verdict::Unknown(mut reason) => {
            reason.truncate(reason.floor_char_boundary(MAX_REASON));
            Verdict::Unknown(reason)
        }
        answer @ Verdict::Answer(_) => answer,
    }
}
