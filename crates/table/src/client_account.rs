//! Who may call.

/// A client account and the keys that its callers show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAccount {
    /// Its name, which targets are told.
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Priority of its requests in place of the route's; 0 goes first.
    pub priority: Option<u32>,
}
