//! Calls that are not proved to have ended.

use crate::{CallKey, Holder};

/// A call whose outcome is unknown and which may still run, as listed for
/// operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnprovedCall<'a> {
    /// Key of the call.
    pub key: &'a CallKey,
    /// Attempt and the target to which it was sent.
    pub holder: &'a Holder,
    /// Why the outcome is unknown.
    pub reason: &'a str,
    /// Ledger time since which the outcome is unknown, in milliseconds.
    pub since_ms: u64,
}
