//! A table before it is checked.

use crate::{CallerLimits, ClientAccount, Route, Service};

/// A table before it is checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// Its number; the highest holds.
    pub number: u64,
    /// Routes, in the order in which they were written.
    pub routes: Vec<Route>,
    /// Services that routes lead to.
    pub services: Vec<Service>,
    /// Client accounts; with none, callers need no key.
    pub accounts: Vec<ClientAccount>,
    /// What callers may send.
    pub limits: CallerLimits,
}
