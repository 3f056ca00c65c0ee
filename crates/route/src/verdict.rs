//! Result of a crash report.

use crate::Fingerprint;

/// State of the requests of a crash report after it was processed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Requests that ran on the crashed target and are now suspect.
    pub suspects: Vec<Fingerprint>,
    /// Requests that ran on the crashed target and are now convicted.
    pub convicted: Vec<Fingerprint>,
}
