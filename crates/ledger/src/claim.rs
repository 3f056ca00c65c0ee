//! Claims on keys.

use crate::{Attempt, CallKey, Digest};

/// Claims a key for one attempt before anything is sent to the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Key of the call.
    pub key: CallKey,
    /// Digest of the request. A claim for the same key with another digest is
    /// refused.
    pub digest: Digest,
    /// Attempt that runs if the claim is granted.
    pub attempt: Attempt,
    /// Target to which the attempt is sent.
    pub target: String,
    /// Incarnation of the agent of that target.
    pub incarnation: u64,
}
