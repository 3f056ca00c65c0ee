//! Requests in admission.

use std::time::Instant;

use slotmap::new_key_type;

new_key_type! {
    /// A client account in an [`Admission`](crate::Admission).
    pub struct AccountKey;
    /// A queued or running request in an [`Admission`](crate::Admission).
    pub struct TicketKey;
}

/// State of a request in admission.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ticket {
    pub(crate) account: AccountKey,
    pub(crate) tokens: u32,
    pub(crate) priority: u32,
    pub(crate) submitted: Instant,
    pub(crate) deadline: Instant,
    pub(crate) state: TicketState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TicketState {
    Waiting,
    Running,
}
