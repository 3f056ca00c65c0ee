//! What a crash report led to.

use crate::Fingerprint;

/// The requests that a crash report concerns, as they stand after it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Requests that ran on the crashed target and are now suspect.
    pub suspects: Vec<Fingerprint>,
    /// Requests that ran on the crashed target and are now convicted.
    pub convicted: Vec<Fingerprint>,
}
