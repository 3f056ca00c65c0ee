//! A call that nobody proved to have ended.

use crate::{CallKey, Holder};

/// A call whose outcome is unknown and that may even run yet, as operators
/// see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnprovedCall<'a> {
    /// The call.
    pub key: &'a CallKey,
    /// Its attempt and where that was sent.
    pub holder: &'a Holder,
    /// Why nothing is known of it.
    pub reason: &'a str,
    /// Since when, in the time of the ledger.
    pub since_ms: u64,
}
