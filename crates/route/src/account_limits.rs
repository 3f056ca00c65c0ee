//! Limits of a client account.

/// Limits of one client account, as set by the release note.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountLimits {
    /// Weight of the account in fair queueing.
    pub share: f64,
    /// Maximum rate in tokens per second; 0 means unlimited.
    pub tokens_per_s: f64,
    /// Maximum rate in requests per second; 0 means unlimited.
    pub requests_per_s: f64,
    /// Maximum number of concurrent requests; 0 means unlimited.
    pub concurrent: u32,
}

impl Default for AccountLimits {
    fn default() -> Self {
        AccountLimits {
            share: 1.0,
            tokens_per_s: 0.0,
            requests_per_s: 0.0,
            concurrent: 0,
        }
    }
}
