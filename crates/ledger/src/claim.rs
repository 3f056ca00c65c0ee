//! A claim on a key.

use crate::{Attempt, CallKey, Digest};

/// Asks for a key on behalf of one attempt, before anything is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The call.
    pub key: CallKey,
    /// What it asks for; the same key with another digest is refused.
    pub digest: Digest,
    /// The attempt that will run if the claim is granted.
    pub attempt: Attempt,
    /// Target that the attempt will be sent to.
    pub target: String,
    /// Incarnation of that target's agent.
    pub incarnation: u64,
}
