//! What admission says of a request.

use crate::{Refusal, TicketKey};

/// What admission says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It may run now; [`Admission::release`](crate::Admission::release) ends it.
    Admitted(TicketKey),
    /// It waits for its turn, which a later
    /// [`Admission::advance`](crate::Admission::advance) tells.
    Queued(TicketKey),
    /// It is refused.
    Refused(Refusal),
}

/// News for requests that were queued.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueUpdate {
    /// May run now.
    pub admitted: Vec<TicketKey>,
    /// Refused: shed for others, or waited past the deadline.
    pub refused: Vec<(TicketKey, Refusal)>,
}
