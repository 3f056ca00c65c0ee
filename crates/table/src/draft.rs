//! A route table before validation.

use crate::{CallerLimits, ClientAccount, Route, Service};

/// A route table before validation by [`Table::new`](crate::Table::new).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// Version number; the table with the highest number is in force.
    pub number: u64,
    /// Routes, in document order.
    pub routes: Vec<Route>,
    /// Services that routes refer to.
    pub services: Vec<Service>,
    /// Client accounts; when empty, callers need no key.
    pub accounts: Vec<ClientAccount>,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
}
