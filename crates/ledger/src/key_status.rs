//! Status of a key.

use crate::{Answer, Holder, UnknownOutcome};

/// Result of a claim, and status of a key after a finish or release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// The attempt holds the key and may be sent.
    Claimed,
    /// Another attempt holds the key. The caller can attach to it at its agent.
    Running(Holder),
    /// The call ran with this answer.
    Finished(Answer),
    /// It is not known whether the call ran.
    Unknown(UnknownOutcome),
    /// The key was used for a call with another digest.
    Mismatch,
    /// The ledger is full. Nothing was recorded.
    Full,
    /// There is no record of the key.
    Absent,
}
