//! Key of a record.

use bytes::Bytes;

/// Names a non-repeatable call: the client account and its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallKey {
    /// Client account; two accounts never share a key.
    pub account: String,
    /// Idempotency key as the caller sent it.
    pub key: Bytes,
}

impl CallKey {
    /// Puts account and key together.
    ///
    /// ```
    /// let key = ledger::CallKey::new("saegewerk-huber", "lot-4711");
    /// assert_eq!(key.key, "lot-4711");
    /// ```
    pub fn new(account: impl Into<String>, key: impl Into<Bytes>) -> Self {
        CallKey {
            account: account.into(),
            key: key.into(),
        }
    }

    pub(crate) fn size(&self) -> usize {
        self.account.len() + self.key.len()
    }
}
