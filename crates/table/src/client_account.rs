//! Client accounts and their keys.

/// A client account and the keys that authenticate its callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAccount {
    /// Name of the account, which is passed on to targets.
    pub name: String,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Overrides the route's priority for its requests; 0 is the highest.
    pub priority: Option<u32>,
}
