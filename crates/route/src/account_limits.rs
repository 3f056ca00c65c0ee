//! What a client account may use.

/// Limits of one client account, as the release note sets them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountLimits {
    /// Weight of the account's fair share.
    pub share: f64,
    /// Tokens a second; 0 is unlimited.
    pub tokens_per_s: f64,
    /// Requests a second; 0 is unlimited.
    pub requests_per_s: f64,
    /// Requests at once; 0 is unlimited.
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
