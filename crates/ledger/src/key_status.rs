//! What stands in the ledger for a key.

use crate::{Answer, Holder, UnknownOutcome};

/// The answer to a claim, and what stands after a finish or release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// The key belongs to the attempt that asked; it may be sent.
    Claimed,
    /// Another attempt holds the key: attach to it at its agent.
    Running(Holder),
    /// The call ran and this is its answer.
    Finished(Answer),
    /// Whether the call ran isn't known.
    Unknown(UnknownOutcome),
    /// The key was used for a call that asked for something else.
    Mismatch,
    /// The ledger is full; nothing was recorded.
    Full,
    /// There is no record of the key.
    Absent,
}
