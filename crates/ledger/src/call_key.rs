//! Keys of records.

use bytes::Bytes;

/// Identifies a non-repeatable call by client account and idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallKey {
    /// Client account. Equal idempotency keys of two accounts are different
    /// keys.
    pub account: String,
    /// Idempotency key as sent by the caller.
    pub key: Bytes,
}

impl CallKey {
    /// Creates a key from an account and an idempotency key.
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
